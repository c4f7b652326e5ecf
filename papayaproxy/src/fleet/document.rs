//! The fleet document as plain data.

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
    /// Rises by at least one with each published document.
    pub generation: u64,
    /// Digest of the document that this one was made from.
    pub parent: Digest,
    /// Digest of this document's canonical text.
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
    /// Brings every map into the order of its names.
    pub(crate) fn sort(&mut self) {
        self.zones.sort_unstable_keys();
        self.models.sort_unstable_keys();
        self.services.sort_unstable_keys();
        self.upstreams.sort_unstable_keys();
        self.groups.sort_unstable_keys();
        self.workspaces.sort_unstable_keys();
    }

    /// The document with its maps sorted and its digest computed.
    pub fn sealed(mut self) -> Self {
        self.sort();
        self.digest = super::render::digest_of(&self);
        self
    }
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// The region that holds it.
    pub region: Name,
}

/// A model that engines can load.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The version that is to serve.
    pub version: u32,
    /// Adapters that may be named in requests.
    pub adapters: Vec<Name>,
}

/// What stands behind a service.
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
    /// What stands behind it.
    pub kind: Kind,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// Deadline of a call that names none.
    pub deadline: Duration,
}

/// What an engine is set up for.
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

/// Whether an upstream refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses old numbers.
    Checked,
    /// It ignores the number.
    #[default]
    Ignored,
}

/// An upstream with the agent in front of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Its availability zone.
    pub zone: Name,
    /// TCP and UDP address of its agent's slot.
    pub agent: SocketAddr,
    /// Services that it offers.
    pub services: Vec<Name>,
    /// What its engine is set up for.
    pub role: Role,
    /// Whether it may take new work at all.
    pub open: bool,
    /// When it leaves for cleaning and when it is back.
    pub leaves: Option<Leave>,
    /// Whether its engine checks fencing numbers.
    pub fencing: Fencing,
}

/// A planned stop. No new work is given from `from` until `until`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leave {
    /// From then on it takes no new work.
    pub from: SystemTime,
    /// From then on it takes new work again.
    pub until: SystemTime,
}

impl Upstream {
    /// Tells whether it may be given new work at `now`.
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
    /// Upstreams that are its ranks, in rank order. Also the order in which they lead.
    pub ranks: Vec<Name>,
    /// Layers with experts.
    pub layers: u16,
    /// Experts in each layer.
    pub experts: u16,
    /// Expert slots per layer on each rank.
    pub slots: u16,
    /// Weight of step-time skew in the placement's cost.
    pub skew_weight: f64,
    /// Weight of moved bytes in the placement's cost.
    pub move_weight: f64,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Digest of its credential.
    pub credential: Digest,
    /// Relative share under contention.
    pub share: u32,
}
