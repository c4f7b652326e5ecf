//! Tests of the catalog.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod directory;
mod evacuations;
mod look_ups;
mod odd_answers;
mod odd_entries;
mod outages;
mod restored;
mod store;

use super::Revision;

/// A position in the store's first era.
pub(crate) fn at(number: u64) -> Revision {
    Revision { era: 0, number }
}
