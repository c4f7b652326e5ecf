//! The agents of lock-step groups, which learn each other's addresses from the entries.

use super::constants::PEER_RETENTION;
use crate::base::name::Name;
use crate::ranks::message::AgentHello;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone, Debug)]
struct KnownAgent {
    /// Service and name of the group.
    group: (Name, Name),
    rank: u16,
    heard_at: Duration,
}

/// All agents that have sent a hello within [`PEER_RETENTION`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Agents {
    agents: IndexMap<SocketAddr, KnownAgent>,
}

impl Agents {
    /// Records an agent's hello. Returns the rank and address of each known agent of its group, the
    /// sender included.
    pub(crate) fn register(
        &mut self,
        from: SocketAddr,
        hello: AgentHello,
        now: Duration,
    ) -> Vec<(u16, SocketAddr)> {
        let group = (hello.service, hello.group);
        self.agents
            .insert(from, KnownAgent { group: group.clone(), rank: hello.rank, heard_at: now });
        self.agents.retain(|_, agent| now.saturating_sub(agent.heard_at) < PEER_RETENTION);
        let members = self.agents.iter().filter(|(_, agent)| agent.group == group);
        members.map(|(address, agent)| (agent.rank, *address)).collect()
    }
}
