//! Identifies and orders published documents.

use super::document::Document;
use crate::base::digest::Digest;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Orders documents: the higher generation is newer, equal generations are ordered by digest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Generation, chosen by the publisher.
    pub generation: u64,
    /// Digest of the document's canonical text.
    pub digest: Digest,
}

impl Version {
    /// Whether both versions have one generation but different digests.
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
    /// The generation and digest as one value.
    pub fn version(&self) -> Version {
        Version { generation: self.generation, digest: self.digest }
    }
}
