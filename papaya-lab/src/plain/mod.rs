//! Stand-in for a plain service. It counts how often each call really ran.

pub(crate) mod command;
pub(crate) mod ledger;
pub(crate) mod server;

#[cfg(test)]
mod tests;

pub use command::{command, run};
pub use ledger::{Counts, Runs};
pub use server::{Plain, PlainSettings, PlainSwitches, bind};
