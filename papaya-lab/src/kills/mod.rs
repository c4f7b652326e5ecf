//! Kills processes at each step of a call, and holds what callers were told against what ran.

mod caller;
mod command;
mod daemon;
mod report;
mod rig;
mod rules;
mod stops;
mod trial;

pub use command::{
    agent_command, command, entry_command, run, run_agent, run_entry, run_stop_command,
    stops_command,
};
