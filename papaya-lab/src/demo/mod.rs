//! Every role in one process on loopback, under a steady load, with planned stops performed live.

pub(crate) mod command;
pub(crate) mod fleet;
pub(crate) mod processes;
pub(crate) mod stage;
pub(crate) mod stop;
pub(crate) mod summary;

#[cfg(test)]
mod tests;

pub use command::{command, run};
pub use stage::{DemoSettings, run_demo};
pub use summary::Summary;
