//! Addresses of the group's agents and of the entries, as the entries tell them. Without I/O or
//! clock.

use super::constants::{CONTACT_TTL, HELLO_ENTRIES, HELLO_INTERVAL, HELLO_INTERVAL_SETTLED};
use super::message::GroupContacts;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Known agents and entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contacts {
    seeds: Vec<SocketAddr>,
    /// Agents by rank.
    agents: IndexMap<u16, SocketAddr>,
    /// Entries with the time when they were last named.
    entries: IndexMap<SocketAddr, Duration>,
    hello_at: Duration,
}

impl Contacts {
    /// Knows only some entries.
    pub(crate) fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, ..Self::default() }
    }

    /// Replaces the seeds after the settings have changed.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes an entry's list.
    pub(crate) fn add(&mut self, contacts: &GroupContacts, now: Duration) {
        self.agents.extend(contacts.agents.iter().copied());
        self.entries.extend(contacts.entries.iter().map(|entry| (*entry, now)));
        self.entries.retain(|_, named| now < *named + CONTACT_TTL);
    }

    /// Records the address from which the agent of a rank sends.
    pub(crate) fn set_agent(&mut self, rank: u16, address: SocketAddr) {
        self.agents.insert(rank, address);
    }

    /// Address of the agent of a rank, if known.
    pub(crate) fn agent(&self, rank: u16) -> Option<SocketAddr> {
        self.agents.get(&rank).copied()
    }

    /// Addresses of all known agents but that of `except`.
    pub(crate) fn other_agents(&self, except: &[u16]) -> Vec<SocketAddr> {
        let others = self.agents.iter().filter(|(rank, _)| !except.contains(rank));
        others.map(|(_, address)| *address).collect()
    }

    /// Addresses of all known entries.
    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().filter(|s| !self.entries.contains_key(*s));
        self.entries.keys().chain(seeds).copied().collect()
    }

    /// The entries to greet, if it is time. All agents greet the same ones, so that each of these
    /// knows all agents of a group. `size` is the number of ranks of the group.
    pub(crate) fn hello_targets(&mut self, size: u16, now: Duration) -> Vec<SocketAddr> {
        if now < self.hello_at {
            return Vec::new();
        }
        let is_settled = self.agents.len() >= size.into() && !self.entries.is_empty();
        self.hello_at = now + if is_settled { HELLO_INTERVAL_SETTLED } else { HELLO_INTERVAL };
        let mut entries = self.entries();
        entries.sort_unstable();
        entries.truncate(HELLO_ENTRIES);
        entries
    }
}
