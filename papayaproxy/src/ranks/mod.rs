//! Expert maps of lock-step groups on replicas that take `prepare`, `hold`, `arm` and `go`.
//!
//! Each rank's agent gives its own replica's orders; the lowest live rank leads.

mod agent;
pub(crate) mod constants;
pub(crate) mod demand;
pub(crate) mod events;
pub(crate) mod lead;
pub(crate) mod message;
pub(crate) mod pass;
pub(crate) mod planner;
pub(crate) mod process;
pub(crate) mod rank;
pub(crate) mod settings;

#[cfg(test)]
mod tests;

pub use process::RankAgent;
pub use settings::{RankSettings, TABLES};
