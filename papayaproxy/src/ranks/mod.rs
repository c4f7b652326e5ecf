//! Switches the expert maps of lock-step groups whose replicas accept `prepare`, `hold`, `arm`,
//! `disarm` and `go` orders.
//!
//! The agent of each rank sends the orders to its own replica; the agent of the lowest live rank
//! is the lead and decides when all ranks switch.

mod agent;
pub(crate) mod constants;
mod contacts;
pub(crate) mod demand;
pub(crate) mod events;
pub(crate) mod lead;
mod leading;
pub(crate) mod maps;
pub(crate) mod message;
pub(crate) mod pass;
pub(crate) mod planner;
pub(crate) mod process;
pub(crate) mod rank;
pub(crate) mod report;
pub(crate) mod settings;
mod undo;

#[cfg(test)]
mod tests;

pub use process::RankAgent;
pub use settings::{RankSettings, TABLES};
