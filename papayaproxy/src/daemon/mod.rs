//! Command line, runtime and signal handling of the daemons.

pub(crate) mod command;
pub(crate) mod gateway;
pub(crate) mod open;
pub(crate) mod ranks;
pub(crate) mod run;

pub use open::{RunningAgent, RunningEntry, open_agent, open_entry};
pub use run::{run_agent, run_console, run_entry};
