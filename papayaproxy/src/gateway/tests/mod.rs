//! Tests of the gateway over real sockets, against fake stores and replicas.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod answers;
mod deadly;
mod endless;
mod mutated;
mod pacing;
mod progress;
mod repeats;
mod stand_ins;
mod streams;
