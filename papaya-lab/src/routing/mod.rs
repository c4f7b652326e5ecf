//! `papaya-lab routing`: policies side by side on the same seeded arrivals, in virtual time.
//!
//! It drives the routing and admission cores that the entry and the agent run.

pub(crate) mod capacity;
pub(crate) mod command;
pub(crate) mod constants;
pub(crate) mod engine;
pub(crate) mod failing;
pub(crate) mod faults;
pub(crate) mod figures;
pub(crate) mod fleet;
pub(crate) mod parts;
pub(crate) mod policy;
pub(crate) mod serving;
pub(crate) mod state;
pub(crate) mod workload;
pub(crate) mod world;

#[cfg(test)]
mod tests;

pub(crate) use command::{command, run};
