//! Content digests.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Length of a digest in bytes.
pub const DIGEST_BYTES: usize = 16;

/// The first 128 bits of the BLAKE3 hash of some content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl Digest {
    /// Hashes `content`.
    pub fn of(content: &[u8]) -> Self {
        let hash = blake3::hash(content);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash.as_bytes()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// Parses 32 hexadecimal digits; `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != DIGEST_BYTES * 2 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
