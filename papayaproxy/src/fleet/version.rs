//! Identifies a document among all that were published, and orders them.

use super::document::Document;
use crate::base::digest::Digest;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Orders documents: the higher generation is newer, equal generations are ordered by digest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The document's generation.
    pub generation: u64,
    /// The document's digest.
    pub digest: Digest,
}

impl Version {
    /// Tells whether two documents of one generation were published.
    pub fn races(&self, other: &Self) -> bool {
        self.generation == other.generation && self.digest != other.digest
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.generation, self.digest)
    }
}

impl Document {
    /// The document's version.
    pub fn version(&self) -> Version {
        Version { generation: self.generation, digest: self.digest }
    }
}
