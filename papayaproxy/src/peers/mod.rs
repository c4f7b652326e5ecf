//! The exchange between entries: discovery, heartbeats with load reports, and the configuration and
//! upstream list for entries that cannot reach the store.

pub(crate) mod agents;
pub(crate) mod constants;
pub(crate) mod events;
mod groups;
mod hooks;
pub(crate) mod message;
pub(crate) mod node;
pub(crate) mod relay;
pub(crate) mod table;

#[cfg(test)]
mod tests;

pub(crate) use hooks::Hooks;
pub(crate) use node::{PeerSettings, Peers};
pub(crate) use table::{EntryIds, PeerDemand, PeerLoads};
