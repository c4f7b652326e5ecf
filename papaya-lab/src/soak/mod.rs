//! Runs entries as processes under a seeded load with faults, and holds what clients and replicas
//! see against the users' rules.
//!
//! The platform (store, replicas, load balancer, clients) is in this process; entries see it on
//! loopback sockets only.

mod budget;
mod checks;
mod client;
mod command;
mod constants;
mod entry;
mod faults;
mod fleet;
mod link;
mod plan;
mod platform;
mod record;
mod replica;
mod report;
mod run;
mod spans;
mod store;
#[cfg(test)]
mod tests;
mod wire;
mod world;

pub use command::{command, run};
