//! What agents tell each other and the entries.

use crate::base::name::Name;
use crate::catalog::ExpertFigures;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A map that a rank switches to as a pass begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ArmedMap {
    /// The map's version.
    pub(crate) version: u64,
    /// The pass, where the replica tells it.
    pub(crate) step: Option<u64>,
}

/// What a replica reports of its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RankStatus {
    /// The group's name.
    pub(crate) group: Name,
    /// Counts how often the group has formed.
    pub(crate) epoch: u64,
    /// The rank.
    pub(crate) rank: u16,
    /// Ranks of the group.
    pub(crate) size: u16,
    /// Whether the group runs passes.
    pub(crate) open: bool,
    /// Whether an order is in progress.
    pub(crate) busy: bool,
    /// Orders that have begun something.
    pub(crate) sequence: u64,
    /// Requests that run.
    pub(crate) running: u32,
    /// Requests that wait.
    pub(crate) waiting: u32,
    /// Unix milliseconds of the replica's start.
    pub(crate) started_ms: u64,
    /// Slowness against the published figures; 1 is usual.
    pub(crate) slowdown: f32,
    /// The last pass that was begun.
    pub(crate) step: u64,
    /// Version of the map in use.
    pub(crate) version: u64,
    /// Version of the map whose copies are complete.
    pub(crate) prepared: Option<u64>,
    /// The map that it switches to.
    pub(crate) armed: Option<ArmedMap>,
    /// The pass that it holds back.
    pub(crate) held: Option<u64>,
}

/// The experts of each rank, by set.
pub(crate) type Lists = Vec<Vec<Vec<u16>>>;

/// An agent's word on its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct State {
    /// What the replica reports.
    pub(crate) view: RankStatus,
    /// Where the replica listens.
    pub(crate) replica: SocketAddr,
    /// The lead that it obeys.
    pub(crate) term: u64,
    /// Whether an order may still be carried out late.
    pub(crate) doubt: bool,
    /// The rank's own experts by set, and the version that they belong to.
    pub(crate) experts: (u64, Vec<Vec<u16>>),
    /// Choices of each expert since the last word, one set after the other; empty in most words.
    pub(crate) chosen: Vec<u32>,
}

/// What the lead asks of a rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Obey this lead.
    Follow,
    /// Copy what the map needs.
    Prepare {
        /// The map's version.
        version: u64,
        /// The map, by set and rank.
        map: Lists,
    },
    /// Hold a pass back.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Switch to a map as a pass begins.
    Arm {
        /// The map's version.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Do not switch.
    Disarm {
        /// The map's version.
        version: u64,
    },
    /// Make sure that no order is carried out late.
    Settle,
    /// Let a held pass begin.
    Go {
        /// The pass.
        step: u64,
    },
}

/// A command with what it depends on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Directed {
    /// The lead's term.
    pub(crate) term: u64,
    /// The group's epoch.
    pub(crate) epoch: u64,
    /// The command.
    pub(crate) command: Command,
}

/// A datagram between agents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum RankMessage {
    /// A rank's state.
    State(Box<State>),
    /// A command of the lead.
    Do(Box<Directed>),
}

/// An agent's word to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct AgentHello {
    /// The replica's service.
    pub(crate) service: Name,
    /// The group's name.
    pub(crate) group: Name,
    /// The rank.
    pub(crate) rank: u16,
}

/// An entry's answer to [`AgentHello`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct GroupContacts {
    /// Agents of the same group.
    pub(crate) agents: Vec<(u16, SocketAddr)>,
    /// Live entries.
    pub(crate) entries: Vec<SocketAddr>,
    /// Sizes of the expert maps.
    pub(crate) figures: Option<ExpertFigures>,
}

/// The lead's picture of its group, for the entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct GroupStatus {
    /// The group's service and name.
    pub(crate) group: (Name, Name),
    /// Whether it runs passes.
    pub(crate) open: bool,
    /// Milliseconds of a pass, lately; 0 where it runs none.
    pub(crate) pass_ms: f32,
    /// Its replicas.
    pub(crate) members: Vec<GroupMember>,
}

/// A replica of a lock-step group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct GroupMember {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Requests that run or wait there.
    pub(crate) requests: u16,
    /// Slowness against the published figures; 1 is usual.
    pub(crate) slowdown: f32,
}
