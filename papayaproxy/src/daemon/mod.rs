//! What the daemons share: command line, runtime, signals.

pub(crate) mod command;
pub(crate) mod feed;
pub(crate) mod run;

pub use run::{run_agent, run_entry};
