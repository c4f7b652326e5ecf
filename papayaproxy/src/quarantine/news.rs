//! What entries tell each other about parts of prompts. Encoded with postcard, so the order of fields
//! is part of the format.

use super::parts::PartKey;
use serde::{Deserialize, Serialize};

/// Crashes and survivals, with ages in milliseconds instead of times, since clocks differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartNews {
    pub(crate) crashes: Vec<CrashNews>,
    /// Parts on which an answer went on, and how long ago that was.
    pub(crate) survived: Vec<(PartKey, u64)>,
}

/// A crash of an upstream as it began an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashNews {
    /// Digest of the upstream's id.
    pub(crate) upstream: u32,
    /// Shared parts of the prompt, in order.
    pub(crate) parts: Vec<PartKey>,
    /// Time since the request was sent.
    pub(crate) sent_ms: u64,
    /// Time since the upstream crashed.
    pub(crate) ended_ms: u64,
}

impl PartNews {
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survived.is_empty()
    }
}
