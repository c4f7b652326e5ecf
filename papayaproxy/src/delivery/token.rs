//! Idempotency keys as text: what a key is bound to, with a message authentication code.

use super::codes;
use super::constants::KEY_TEXT_MAX;
use crate::base::code::Code;
use crate::base::name::{Incarnation, Name};
use crate::wire::Secrets;
use crate::wire::seal::{TAG_BYTES, tag, tags_match};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefix of each key, with the version of its format.
const PREFIX: &str = "pk1-";

/// An authentic idempotency key. Only [`Token::parse`] and the issuing agent make one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Token {
    /// Upstream whose agent issued the key; no other may run it.
    pub(crate) upstream: Name,
    /// Incarnation of the issuing agent.
    pub(crate) incarnation: Incarnation,
    /// Increases with each key issued by the incarnation.
    pub(crate) sequence: u64,
    /// Workspace that may use the key.
    pub(crate) workspace: Name,
    /// Service that the key may be used with.
    pub(crate) service: Name,
    /// Time of issue on the issuing agent's monotonic clock, in milliseconds.
    pub(crate) issued_ms: u64,
}

impl Token {
    /// The upstream whose agent issued the key; calls with the key must go to it.
    pub fn upstream(&self) -> &Name {
        &self.upstream
    }

    /// The service that the key was issued for.
    pub fn service(&self) -> &Name {
        &self.service
    }

    /// The workspace that the key was issued to.
    pub fn workspace(&self) -> &Name {
        &self.workspace
    }

    /// Time of issue on the issuing agent's monotonic clock.
    pub(crate) fn issued(&self) -> Duration {
        Duration::from_millis(self.issued_ms)
    }

    /// Encodes the key as text that is valid in a header and in a path.
    pub fn encode(&self, secrets: &Secrets) -> String {
        let mut bytes = vec![secrets.current.id];
        if let Ok(body) = postcard::to_stdvec(self) {
            bytes.extend(body);
        }
        let code = tag(&secrets.current.issue, &bytes);
        bytes.extend(code);
        let hex = bytes.iter().map(|b| format!("{b:02x}"));
        std::iter::once(PREFIX.to_owned()).chain(hex).collect()
    }

    /// Decodes a key and checks that this fleet issued it.
    ///
    /// # Errors
    /// `KEY_FOREIGN` if the text is not in the key format, `KEY_ALTERED` if the authentication code
    /// does not match, `KEY_SECRET_RETIRED` if the key's secret is no longer in force.
    pub fn parse(text: &str, secrets: &Secrets) -> Result<Self, Code> {
        let bytes = decode(text).ok_or(codes::KEY_FOREIGN)?;
        let split = bytes.len().checked_sub(TAG_BYTES).filter(|n| *n > 1);
        let (content, found) = bytes.split_at(split.ok_or(codes::KEY_FOREIGN)?);
        // The key may be genuine and its request may have run, so the code's outcome is unknown.
        let secret = secrets.find(content[0]).ok_or(codes::KEY_SECRET_RETIRED)?;
        if !tags_match(found, &tag(&secret.issue, content)) {
            return Err(codes::KEY_ALTERED);
        }
        postcard::from_bytes(&content[1..]).map_err(|_| codes::KEY_ALTERED)
    }
}

fn decode(text: &str) -> Option<Vec<u8>> {
    let hex = text.strip_prefix(PREFIX)?;
    let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.len() > KEY_TEXT_MAX || !hex.len().is_multiple_of(2) || !hex.bytes().all(is_lower_hex) {
        return None;
    }
    let pairs = (0..hex.len()).step_by(2);
    pairs.map(|i| u8::from_str_radix(&hex[i..i + 2], 16).ok()).collect()
}
