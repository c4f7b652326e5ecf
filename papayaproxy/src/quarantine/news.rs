//! What entries tell each other about parts of prompts. Encoded with postcard, so the order of fields
//! is part of the format.

use super::parts::{Crash, PartKey};
use serde::{Deserialize, Serialize};

/// Crashes and survivals, with ages in milliseconds, since the clocks of entries differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartNews {
    /// Crashes, and how long ago they were.
    pub(crate) crashes: Vec<(Crash, u64)>,
    /// Parts on which an answer went on, and how long ago that was.
    pub(crate) survived: Vec<(PartKey, u64)>,
}

impl PartNews {
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survived.is_empty()
    }
}
