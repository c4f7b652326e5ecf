//! Data types of the fleet document.

use crate::base::digest::Digest;
use crate::base::name::Name;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// A validated fleet document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Name of the fleet.
    pub fleet: Name,
    /// Increases by at least one with each published document.
    pub generation: u64,
    /// Digest of the document that this one was edited from; zero if none is stated.
    pub parent: Digest,
    /// Digest of this document's canonical text without its digest line.
    pub digest: Digest,
    /// Availability zones by name.
    pub zones: IndexMap<Name, Zone>,
    /// Models by name.
    pub models: IndexMap<Name, Model>,
    /// Services by name.
    pub services: IndexMap<Name, Service>,
    /// Upstreams by name.
    pub upstreams: IndexMap<Name, Upstream>,
    /// Lock-step groups by name.
    pub groups: IndexMap<Name, Group>,
    /// Workspaces by name.
    pub workspaces: IndexMap<Name, Workspace>,
}

impl Document {
    /// Sorts every map by name.
    pub(crate) fn sort(&mut self) {
        self.zones.sort_unstable_keys();
        self.models.sort_unstable_keys();
        self.services.sort_unstable_keys();
        self.upstreams.sort_unstable_keys();
        self.groups.sort_unstable_keys();
        self.workspaces.sort_unstable_keys();
    }

    /// Sorts the maps and computes the digest.
    pub fn sealed(mut self) -> Self {
        self.sort();
        self.digest = super::render::digest_of(&self);
        self
    }
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Region that the zone belongs to.
    pub region: Name,
}

/// A model that engines can load.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Version that engines must load.
    pub version: u32,
    /// Adapters that requests may name.
    pub adapters: Vec<Name>,
}

/// Kind of upstream that serves a service.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Model engines that serve the named model.
    Model(Name),
    /// A plain HTTP service.
    Plain,
}

/// A service that callers name in their requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Kind of its upstreams.
    pub kind: Kind,
    /// Whether a call that may have run can be retried.
    pub idempotent: bool,
    /// Deadline of a call that states none.
    pub deadline: Duration,
}

/// Phases of inference that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Whether an upstream's engine checks fencing numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fencing {
    /// Refuses orders with an old number.
    Checked,
    /// Accepts orders with any number.
    #[default]
    Ignored,
}

/// An upstream and its agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its availability zone.
    pub zone: Name,
    /// TCP and UDP address of its agent's slot.
    pub agent: SocketAddr,
    /// Services that it offers.
    pub services: Vec<Name>,
    /// Phases of inference that its engine runs.
    pub role: Role,
    /// Whether it may take new work; a closed upstream takes none.
    pub open: bool,
    /// Planned stop; `None` if none is scheduled.
    pub leaves: Option<Leave>,
    /// Whether its engine checks fencing numbers.
    pub fencing: Fencing,
}

/// A planned stop: the upstream takes no new work from `from` until `until`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leave {
    /// Start, inclusive.
    pub from: SystemTime,
    /// End, exclusive.
    pub until: SystemTime,
}

impl Upstream {
    /// Whether it may take new work at `now`.
    pub fn takes_work(&self, now: SystemTime) -> bool {
        let leaving = self.leaves.is_some_and(|l| l.from <= now && now < l.until);
        self.open && !leaving
    }
}

/// A lock-step group of ranks.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The model that it serves.
    pub model: Name,
    /// Upstreams that are its ranks, in rank order; also the order of succession as lead.
    pub ranks: Vec<Name>,
    /// Layers with experts.
    pub layers: u16,
    /// Experts in each layer.
    pub experts: u16,
    /// Expert slots per layer on each rank.
    pub slots: u16,
    /// Weight of step-time skew in the cost of a placement.
    pub skew_weight: f64,
    /// Weight of moved bytes in the cost of a placement.
    pub move_weight: f64,
}

/// A workspace, that is a customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Digest of its credential.
    pub credential: Digest,
    /// Relative share of capacity under contention.
    pub share: u32,
}
