//! HTTP/1.1 gateway: accepts client requests and forwards them directly to upstreams.
//!
//! It runs on a single thread, since a host has a quarter of a core.

pub(crate) mod attempts;
pub(crate) mod body;
pub(crate) mod bounds;
pub(crate) mod buffer;
pub(crate) mod clients;
pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod crash;
pub(crate) mod edge;
pub(crate) mod envelope;
pub(crate) mod events;
pub(crate) mod exchange;
pub(crate) mod first_ids;
pub(crate) mod handover;
pub(crate) mod hops;
pub(crate) mod meters;
pub(crate) mod pacing;
pub(crate) mod peer_hooks;
mod pool;
pub(crate) mod process;
pub(crate) mod progress;
pub(crate) mod reader;
pub(crate) mod readers;
pub(crate) mod ready;
pub(crate) mod refuse;
pub(crate) mod relay;
mod repeats;
pub(crate) mod seats;
pub(crate) mod send;
pub(crate) mod settings;
pub(crate) mod waiting;

#[cfg(test)]
pub(crate) mod tests;

pub(crate) use envelope::{Envelope, KeyHeader, Verdict};
pub use process::Gateway;
pub use settings::{GatewaySettings, TABLES};
