//! Positions in the history of the store.

use serde::{Deserialize, Serialize};

/// A position in the history of the store. The order of the fields is that of the history: a store
/// that comes back from a copy of its data gives out numbers anew, in a later era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct Revision {
    /// How often the store has come back from a copy.
    pub(crate) era: u64,
    /// Counts the changes; above 0 for any change.
    pub(crate) number: u64,
}

impl Revision {
    /// Whether no change has been read yet.
    pub(crate) fn is_none(&self) -> bool {
        self.number == 0
    }
}
