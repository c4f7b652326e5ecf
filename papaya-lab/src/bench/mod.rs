//! Added latency and requests per core of entry and agent, against a bare forwarder.

pub(crate) mod children;
pub(crate) mod command;
pub(crate) mod cpu;
pub(crate) mod drive;
pub(crate) mod rig;
pub(crate) mod rounds;
pub(crate) mod summary;

#[cfg(test)]
mod tests;

pub use command::{command, run};
