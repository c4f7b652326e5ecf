//! Entries find each other, share what they run, and lend what the store does not give.

pub(crate) mod agents;
pub(crate) mod constants;
pub(crate) mod events;
pub(crate) mod message;
pub(crate) mod node;
pub(crate) mod relay;
pub(crate) mod table;

#[cfg(test)]
mod tests;

pub(crate) use node::{Hooks, PeerSettings, Peers};
pub(crate) use table::PeerLoads;
