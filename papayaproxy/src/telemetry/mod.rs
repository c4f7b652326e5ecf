//! Logs, metrics and the operators' HTTP endpoint of each process.

pub(crate) mod codes;
pub(crate) mod events;
pub(crate) mod gauges;
pub(crate) mod log;
pub(crate) mod metrics;
pub(crate) mod ops;
pub(crate) mod status;

#[cfg(test)]
mod tests;

pub use log::{LogFormat, LogGuard, open_log};
pub use metrics::Metrics;
pub use ops::{OpsEndpoint, StatusSource};
pub use status::{EvacuationStatus, Status};
