//! The agents of lock-step groups, which entries introduce to each other.

use super::constants::PEER_FORGET;
use crate::base::name::Name;
use crate::ranks::message::AgentHello;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone, Debug)]
struct Seen {
    group: (Name, Name),
    rank: u16,
    heard: Duration,
}

/// All agents that have told that they are there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Agents {
    seen: IndexMap<SocketAddr, Seen>,
}

impl Agents {
    /// Takes an agent's word, and gives the agents of its group by rank.
    pub(crate) fn meet(
        &mut self,
        from: SocketAddr,
        here: AgentHello,
        now: Duration,
    ) -> Vec<(u16, SocketAddr)> {
        let group = (here.service, here.group);
        self.seen.insert(from, Seen { group: group.clone(), rank: here.rank, heard: now });
        self.seen.retain(|_, seen| now.saturating_sub(seen.heard) < PEER_FORGET);
        let same = self.seen.iter().filter(|(_, seen)| seen.group == group);
        same.map(|(address, seen)| (seen.rank, *address)).collect()
    }
}
