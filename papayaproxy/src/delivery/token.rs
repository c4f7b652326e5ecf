//! Idempotency keys as callers hold them: what a key is bound to, under an authentication code.

use super::codes;
use super::constants::KEY_TEXT_MAX;
use crate::base::code::Code;
use crate::base::name::{Incarnation, Name};
use crate::wire::Secrets;
use crate::wire::seal::{TAG_BYTES, tag, tags_match};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// First characters of each key, with the number of its format.
const PREFIX: &str = "pk1-";

/// An authentic idempotency key. Only [`Token::parse`] and the issuing agent make one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Token {
    /// The upstream whose agent issued it and alone may run it.
    pub(crate) upstream: Name,
    /// The agent's incarnation.
    pub(crate) incarnation: Incarnation,
    /// Rises with each key of the incarnation.
    pub(crate) sequence: u64,
    /// The workspace that may use it.
    pub(crate) workspace: Name,
    /// The service that it may call.
    pub(crate) service: Name,
    /// Reading of the issuing agent's monotonic clock, in milliseconds.
    pub(crate) issued_ms: u64,
}

impl Token {
    /// The upstream that the key leads to.
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

    /// When it was issued, on the issuing agent's clock.
    pub(crate) fn issued(&self) -> Duration {
        Duration::from_millis(self.issued_ms)
    }

    /// Writes the key as text that fits into a header or a path.
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

    /// Reads a key and checks that the fleet issued it.
    ///
    /// # Errors
    /// `KEY_FOREIGN`, `KEY_ALTERED` or `KEY_SECRET_RETIRED`.
    pub fn parse(text: &str, secrets: &Secrets) -> Result<Self, Code> {
        let bytes = decode(text).ok_or(codes::KEY_FOREIGN)?;
        let split = bytes.len().checked_sub(TAG_BYTES).filter(|n| *n > 1);
        let (content, found) = bytes.split_at(split.ok_or(codes::KEY_FOREIGN)?);
        // A retired secret is no proof of forgery: the request may have run under it.
        let secret = secrets.find(content[0]).ok_or(codes::KEY_SECRET_RETIRED)?;
        if !tags_match(found, &tag(&secret.issue, content)) {
            return Err(codes::KEY_ALTERED);
        }
        postcard::from_bytes(&content[1..]).map_err(|_| codes::KEY_ALTERED)
    }
}

fn decode(text: &str) -> Option<Vec<u8>> {
    let hex = text.strip_prefix(PREFIX)?;
    let lower = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.len() > KEY_TEXT_MAX || !hex.len().is_multiple_of(2) || !hex.bytes().all(lower) {
        return None;
    }
    let pairs = (0..hex.len()).step_by(2);
    pairs.map(|i| u8::from_str_radix(&hex[i..i + 2], 16).ok()).collect()
}
