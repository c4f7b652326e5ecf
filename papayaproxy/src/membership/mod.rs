//! Heartbeats, incarnations, load reports and the live view of processes.

pub(crate) mod codes;
pub(crate) mod events;
pub(crate) mod report;

pub use report::{LoadReport, LoadedModel};
