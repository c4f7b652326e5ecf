//! The agent process, which forwards all calls to its upstream and reports its load.

pub(crate) mod call;
pub(crate) mod client;
pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod desk;
pub(crate) mod events;
pub(crate) mod keyed;
pub(crate) mod leaving;
pub(crate) mod links;
pub(crate) mod load;
pub(crate) mod process;
pub(crate) mod settings;

#[cfg(test)]
mod tests;

pub use process::Agent;
pub use settings::{AgentSettings, TABLES};
