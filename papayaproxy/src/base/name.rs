//! Names and process identities.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

/// A shared immutable string that names a zone, upstream, service, model or workspace.
pub type Name = arcstr::ArcStr;

/// Longest name that a document or setting may hold, in bytes.
pub const NAME_BYTES_MAX: usize = 64;

/// Number of low-order random bits in an incarnation; the start time is above them.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// Returns whether `text` is a valid name: 1 to 64 of lower-case letters, digits, `-`, `_` and `.`,
/// starting with a letter or digit.
pub fn is_name(text: &str) -> bool {
    let fits = (1..=NAME_BYTES_MAX).contains(&text.len());
    let starts = text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
    let inner = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    fits && starts && text.chars().all(inner)
}

/// Identifies one run of one process. A restart on the same host has another incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Generates an incarnation from the host's clock and random bits. Only equality carries a
    /// guarantee; the order is a hint, since a host's clock may step back.
    pub fn generate() -> Self {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let millis = elapsed.as_millis() as u64;
        let noise = rand::random::<u64>() >> (u64::BITS - INCARNATION_RANDOM_BITS);
        Self((millis << INCARNATION_RANDOM_BITS) | noise)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
