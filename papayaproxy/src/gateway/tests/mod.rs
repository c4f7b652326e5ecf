//! Tests of the gateway over real sockets, against fake stores and replicas.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod answers;
mod copies;
mod deadly;
mod endless;
mod evacuations;
mod first_ids;
mod handover;
mod log_lines;
mod mutated;
mod order;
mod pacing;
mod progress;
mod repeats;
mod resumed;
mod seats;
mod slow_readers;
pub(crate) mod stand_ins;
mod stopping;
mod streams;
