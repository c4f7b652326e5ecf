//! Datagrams that agents send to each other and exchange with entries. Encoded by postcard.

use crate::base::name::Name;
use crate::catalog::ExpertFigures;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// An expert map that a rank switches to at the start of a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ArmedMap {
    /// The map's version.
    pub(crate) version: u64,
    /// The number of the pass; `None` if the replica does not report it.
    pub(crate) step: Option<u64>,
}

/// Status of a rank as its replica reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RankStatus {
    /// The group's name.
    pub(crate) group: Name,
    /// Number of times the group has formed.
    pub(crate) epoch: u64,
    /// The rank.
    pub(crate) rank: u16,
    /// Number of ranks in the group.
    pub(crate) size: u16,
    /// Whether the group runs passes.
    pub(crate) open: bool,
    /// Whether an order is in progress.
    pub(crate) busy: bool,
    /// Number of orders accepted so far. An order names the number that it expects.
    pub(crate) sequence: u64,
    /// Running requests.
    pub(crate) running: u32,
    /// Waiting requests.
    pub(crate) waiting: u32,
    /// Start of the replica in Unix milliseconds.
    pub(crate) started_ms: u64,
    /// Pass time relative to the published figures; 1 is usual, more is slower.
    pub(crate) slowdown: f32,
    /// Number of the last pass that has begun.
    pub(crate) step: u64,
    /// Version of the map in use.
    pub(crate) version: u64,
    /// Version of the map whose experts the rank copies by an order of its agent; the replica itself does
    /// not tell.
    pub(crate) copying: Option<u64>,
    /// Version of the map whose experts are all copied.
    pub(crate) prepared: Option<u64>,
    /// The map that the rank switches to, if one is armed.
    pub(crate) armed: Option<ArmedMap>,
    /// Number of the pass that the rank holds back.
    pub(crate) held: Option<u64>,
}

impl RankStatus {
    /// Whether the rank neither has the experts of a map nor copies them.
    pub(crate) fn lacks(&self, version: u64) -> bool {
        self.prepared != Some(version) && self.copying != Some(version)
    }

    /// The highest version that the rank has had.
    pub(crate) fn last_version(&self) -> u64 {
        self.version.max(self.prepared.max(self.copying).unwrap_or_default())
    }
}

/// An expert map: for each set of layers, the experts of each rank.
pub(crate) type ExpertLists = Vec<Vec<Vec<u16>>>;

/// An agent's report on its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct AgentReport {
    /// Status reported by the replica.
    pub(crate) status: RankStatus,
    /// Address of the replica.
    pub(crate) replica: SocketAddr,
    /// Term of the lead that the agent follows; 0 before the first.
    pub(crate) term: u64,
    /// Whether an unanswered order may still take effect.
    pub(crate) order_uncertain: bool,
    /// The map version and the rank's experts of that version by set; no sets in most reports.
    pub(crate) experts: (u64, Vec<Vec<u16>>),
    /// How often each expert was chosen in the last moments; empty in most reports.
    pub(crate) expert_counts: CountSample,
    /// Whether the rank lacks the map that the lead's changes refer to.
    pub(crate) wants_map: bool,
}

/// How often each expert was chosen, one set after the other, scaled to one byte each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CountSample {
    /// Number of low bits left out of each count.
    pub(crate) shift: u8,
    /// The counts without these bits.
    pub(crate) counts: Vec<u8>,
}

/// The new list of one rank in one set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListChange {
    /// The set of layers.
    pub(crate) set: u16,
    /// The rank.
    pub(crate) rank: u16,
    /// The rank's experts in that set.
    pub(crate) experts: Vec<u16>,
}

/// A map as its differences from another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MapChanges {
    /// Version of the map that the changes refer to.
    pub(crate) base: u64,
    /// Digest of the whole new map.
    pub(crate) digest: u64,
    /// The lists that differ.
    pub(crate) lists: Vec<ListChange>,
}

/// What the lead requests from a rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Follow this lead.
    Follow,
    /// Copy the experts that the map adds to the rank.
    Prepare {
        /// The map's version.
        version: u64,
        /// The map, by set and rank.
        map: Arc<ExpertLists>,
    },
    /// The same, for a rank that knows the map that the changes refer to.
    PrepareChanges {
        /// The map's version.
        version: u64,
        /// The changes.
        changes: Arc<MapChanges>,
    },
    /// Hold back a pass.
    Hold {
        /// The number of the pass.
        step: u64,
    },
    /// Arm a map: switch to it at the start of a pass.
    Arm {
        /// The map's version.
        version: u64,
        /// The number of the pass.
        step: u64,
    },
    /// Cancel an armed switch.
    Disarm {
        /// The map's version.
        version: u64,
    },
    /// Prepare the rank's present experts under a higher version: no unanswered order can arm a lower one
    /// any more.
    Supersede {
        /// The higher version.
        version: u64,
    },
    /// Release a held pass.
    Go {
        /// The number of the pass.
        step: u64,
    },
}

/// A command with the term and epoch in which it is valid.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeadCommand {
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
    /// A report on a rank.
    Report(Box<AgentReport>),
    /// A command from the lead.
    Command(Box<LeadCommand>),
}

/// Sent by an agent to entries, which reply with [`GroupContacts`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct AgentHello {
    /// The replica's service.
    pub(crate) service: Name,
    /// The group's name.
    pub(crate) group: Name,
    /// The rank.
    pub(crate) rank: u16,
}

/// An entry's reply to [`AgentHello`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct GroupContacts {
    /// Rank and address of each known agent of the same group.
    pub(crate) agents: Vec<(u16, SocketAddr)>,
    /// Addresses of live entries.
    pub(crate) entries: Vec<SocketAddr>,
    /// Sizes of the service's expert maps; `None` if the configuration gives none.
    pub(crate) figures: Option<ExpertFigures>,
}

/// Status of a lock-step group, sent to the entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct GroupStatus {
    /// The group's service and name.
    pub(crate) group: (Name, Name),
    /// Whether the group runs passes.
    pub(crate) open: bool,
    /// Recent duration of a pass in milliseconds; 0 while none runs.
    pub(crate) pass_ms: f32,
    /// Requests that run or wait, as the mean over all replicas.
    pub(crate) requests: f32,
    /// Mean age of the members' loads, in milliseconds.
    pub(crate) loads_ms: u16,
    /// The group's replicas.
    pub(crate) members: Vec<GroupMember>,
}

/// Asks an agent for the [`GroupStatus`] of its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MembersQuery {
    /// The group's service and name.
    pub(crate) group: (Name, Name),
}

/// Status of a lock-step group without its members, sent to all entries at a short interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct GroupPulse {
    /// The group's service and name.
    pub(crate) group: (Name, Name),
    /// Digest of the members' addresses, in the order of the last [`GroupStatus`].
    pub(crate) members: u64,
    /// Whether the group runs passes.
    pub(crate) open: bool,
    /// Recent duration of a pass in milliseconds; 0 while none runs.
    pub(crate) pass_ms: f32,
    /// Requests that run or wait, as the mean over all members.
    pub(crate) requests: f32,
    /// Members slower than usual: position among the members, and pass time relative to the
    /// published figures.
    pub(crate) slow: Vec<(u16, f32)>,
    /// Requests that run or wait, by position among the members; empty if the sender does not know.
    pub(crate) loads: Vec<u8>,
    /// Mean age of these, in milliseconds.
    pub(crate) loads_ms: u16,
}

/// Digest of members' addresses.
pub(crate) fn members_digest(members: &[GroupMember]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    members.iter().for_each(|m| hasher.update(m.address.to_string().as_bytes()));
    hasher.digest()
}

/// A replica of a lock-step group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct GroupMember {
    /// Address of the replica.
    pub(crate) address: SocketAddr,
    /// Pass time relative to the published figures; 1 is usual, more is slower.
    pub(crate) slowdown: f32,
    /// Requests that run or wait; `None` if the sender does not know.
    pub(crate) requests: Option<u8>,
}
