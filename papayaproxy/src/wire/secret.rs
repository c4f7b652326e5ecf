//! Keys shared by the processes of the system. Two are valid at once, which allows key rotation.

use super::error::WireError;
use std::fmt;

/// Length of a link key in bytes.
pub(crate) const SECRET_BYTES: usize = 32;

/// Derivation context of the key that authenticates issued idempotency keys.
const ISSUE_CONTEXT: &str = "papayaproxy 2026 issued idempotency keys";

/// Derivation context of the key that authenticates datagrams.
const DATAGRAM_CONTEXT: &str = "papayaproxy 2026 datagrams";

/// Derivation context of the key that authenticates links.
const LINK_CONTEXT: &str = "papayaproxy 2026 links";

/// A numbered key. Its bytes never appear in logs.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret {
    /// The key's number, sent with each message.
    pub id: u8,
    pub(crate) datagram: [u8; SECRET_BYTES],
    pub(crate) link: [u8; SECRET_BYTES],
    pub(crate) issue: [u8; SECRET_BYTES],
}

impl Secret {
    /// Derives a key for each purpose from the shared one.
    pub fn new(id: u8, bytes: &[u8; SECRET_BYTES]) -> Self {
        Self {
            id,
            datagram: blake3::derive_key(DATAGRAM_CONTEXT, bytes),
            link: blake3::derive_key(LINK_CONTEXT, bytes),
            issue: blake3::derive_key(ISSUE_CONTEXT, bytes),
        }
    }

    /// Parses `id:64-hex-digits`.
    ///
    /// # Errors
    /// `SecretInvalid` for any other form; the error does not contain the text.
    pub fn parse(text: &str) -> Result<Self, WireError> {
        let (id, hex) = text.trim().split_once(':').ok_or(WireError::SecretInvalid)?;
        let id = id.parse().map_err(|_| WireError::SecretInvalid)?;
        if hex.len() != SECRET_BYTES * 2 || !hex.is_ascii() {
            return Err(WireError::SecretInvalid);
        }
        let mut bytes = [0; SECRET_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let pair = &hex[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| WireError::SecretInvalid)?;
        }
        Ok(Self::new(id, &bytes))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({})", self.id)
    }
}

/// The keys in force: one for sending, and the previous or next one, accepted during rotation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secrets {
    /// Authenticates messages that this process sends.
    pub current: Secret,
    /// Also accepted from peers; `None` outside a key rotation.
    pub other: Option<Secret>,
}

impl Secrets {
    /// Returns the key numbered `id`; `None` if it is not in force.
    pub fn find(&self, id: u8) -> Option<&Secret> {
        let other = self.other.as_ref().filter(|s| s.id == id);
        Some(&self.current).filter(|s| s.id == id).or(other)
    }
}
