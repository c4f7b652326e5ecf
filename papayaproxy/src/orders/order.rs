//! Orders that an agent sends to its engine.

use crate::base::digest::Digest;
use crate::base::name::Name;
use crate::fleet::Role;

/// What an order applies to. A later order for the same target replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// A model.
    Model(Name),
    /// An adapter of a model.
    Adapter {
        /// The model.
        model: Name,
        /// The adapter.
        adapter: Name,
    },
    /// The engine's role.
    Role,
    /// The experts of a lock-step group's rank.
    Experts,
}

/// What the engine has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load a version of the model, or its adapter for that version.
    Load {
        /// The version.
        version: u32,
    },
    /// Unload the target.
    Unload,
    /// Change the engine's role.
    SetRole(Role),
    /// Load the experts that a map assigns to the rank.
    LoadExperts {
        /// Digest of the map.
        map: Digest,
    },
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What the order applies to.
    pub target: Target,
    /// Increases with each order for the target: a document's generation, or a map's number.
    pub issue: u64,
    /// What the engine has to do.
    pub action: Action,
}
