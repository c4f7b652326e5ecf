//! Messages of the protocol by which the ranks of a group agree on an expert map.

use crate::base::code::Code;
use crate::base::digest::Digest;
use serde::{Deserialize, Serialize};

/// Number of a step of a lock-step group.
pub type StepNumber = u64;

/// Term of a lead. A rank that has promised a term refuses requests of lower terms.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term {
    /// Increases with each takeover.
    pub number: u64,
    /// Rank index of the lead; it distinguishes the terms of two leads.
    pub lead: u16,
}

/// Identifies one expert map of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MapId {
    /// Increases by one with each switch.
    pub number: u64,
    /// Digest of the map's slots.
    pub digest: Digest,
}

/// A committed map and the first step that runs on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Switch {
    /// The committed map.
    pub map: MapId,
    /// The first step that runs on the map.
    pub step: StepNumber,
}

/// A rank's promise not to begin `step` until the lead commits or releases the proposed map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The term in which the hold was requested.
    pub term: Term,
    /// The map in force when the hold was requested.
    pub base: MapId,
    /// The proposed map.
    pub map: MapId,
    /// The first step that is held.
    pub step: StepNumber,
}

impl Hold {
    /// The switch that takes effect if the hold is committed.
    pub fn switch(&self) -> Switch {
        Switch { map: self.map, step: self.step }
    }
}

/// A request of a lead to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Promise the term and return the state.
    Query {
        /// The lead's term.
        term: Term,
        /// Distinguishes successive queries of one term.
        round: u32,
    },
    /// Load the experts that the map needs. The map in force does not change.
    Stage {
        /// The lead's term.
        term: Term,
        /// The proposed map.
        map: MapId,
    },
    /// Do not begin a step until it is committed or released.
    Hold(Hold),
    /// Run the held step on the held map.
    Commit {
        /// The lead's term.
        term: Term,
        /// The hold to commit.
        hold: Hold,
    },
    /// Run the held step on the map in force.
    Release {
        /// The lead's term.
        term: Term,
        /// The hold to release.
        hold: Hold,
    },
}

impl Request {
    /// The term in which the request was made.
    pub fn term(&self) -> Term {
        match *self {
            Self::Query { term, .. } | Self::Stage { term, .. } => term,
            Self::Commit { term, .. } | Self::Release { term, .. } => term,
            Self::Hold(hold) => hold.term,
        }
    }
}

/// Protocol state of a rank: its promises and its map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankState {
    /// The highest term that the rank has promised.
    pub term: Term,
    /// The last committed map.
    pub switch: Switch,
    /// The hold in effect; `None` if no step is held.
    pub hold: Option<Hold>,
    /// The map whose experts are loaded for the next switch; `None` if there is none.
    pub staged: Option<MapId>,
    /// The next step that the rank will begin.
    pub next: StepNumber,
}

/// A rank's reply to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The request that this replies to.
    pub request: Request,
    /// Whether the request took effect.
    pub verdict: Verdict,
    /// The rank's state after the request.
    pub state: RankState,
}

/// Result of a request at a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request is in effect, from now on or already before.
    Accepted,
    /// The rank is still loading experts.
    Pending,
    /// The request has no effect, for the reason given by the code.
    Refused(Code),
}
