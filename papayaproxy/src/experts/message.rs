//! Messages of the agreement on an expert map.

use crate::base::code::Code;
use crate::base::digest::Digest;
use serde::{Deserialize, Serialize};

/// Number of a step of a lock-step group.
pub type StepNumber = u64;

/// A lead's right to decide. A higher term makes every rank refuse the lower ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term {
    /// Rises with each takeover.
    pub number: u64,
    /// Rank index of the lead, which keeps the terms of two leads apart.
    pub lead: u16,
}

/// Identifies one expert map of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MapId {
    /// Rises by one with each switch.
    pub number: u64,
    /// Digest of the map's content.
    pub digest: Digest,
}

/// A committed map and the first step that runs on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Switch {
    /// The map.
    pub map: MapId,
    /// The first step on it.
    pub step: StepNumber,
}

/// A rank's promise not to begin `step` until it is told which map that step runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The term in which it was asked for.
    pub term: Term,
    /// The map in force before.
    pub base: MapId,
    /// The proposed map.
    pub map: MapId,
    /// The first step that is held.
    pub step: StepNumber,
}

impl Hold {
    /// What its commit schedules.
    pub fn switch(&self) -> Switch {
        Switch { map: self.map, step: self.step }
    }
}

/// What a lead asks of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Promise the term and tell the state.
    Ask {
        /// The lead's term.
        term: Term,
        /// Tells one question of a term from the next.
        round: u32,
    },
    /// Load what the map needs. No step changes.
    Stage {
        /// The lead's term.
        term: Term,
        /// The proposed map.
        map: MapId,
    },
    /// Hold a step.
    Hold(Hold),
    /// Run the held step on the held map.
    Commit {
        /// The lead's term.
        term: Term,
        /// The hold that is decided.
        hold: Hold,
    },
    /// Run the held step on the map in force.
    Release {
        /// The lead's term.
        term: Term,
        /// The hold that is given up.
        hold: Hold,
    },
}

impl Request {
    /// The term that the request is made in.
    pub fn term(&self) -> Term {
        match *self {
            Self::Ask { term, .. } | Self::Stage { term, .. } => term,
            Self::Commit { term, .. } | Self::Release { term, .. } => term,
            Self::Hold(hold) => hold.term,
        }
    }
}

/// What a rank has promised and runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankState {
    /// The highest term that it has promised.
    pub term: Term,
    /// The last committed map.
    pub switch: Switch,
    /// The step that it holds, if any.
    pub hold: Option<Hold>,
    /// The map that it has staged.
    pub staged: Option<MapId>,
    /// The next step that it will begin.
    pub next: StepNumber,
}

/// A rank's answer to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The request that is answered.
    pub request: Request,
    /// What became of it.
    pub verdict: Verdict,
    /// The rank's state afterwards.
    pub state: RankState,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is in effect; also where it already was.
    Accepted,
    /// Loads are still running.
    Pending,
    /// It has no effect.
    Refused(Code),
}
