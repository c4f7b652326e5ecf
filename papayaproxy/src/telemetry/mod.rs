//! Logs, metrics and the operators' HTTP endpoint of each process.

pub(crate) mod codes;
pub(crate) mod events;
