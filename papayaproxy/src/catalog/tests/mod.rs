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
