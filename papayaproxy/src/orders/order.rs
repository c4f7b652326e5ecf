//! Orders to an engine.

use crate::base::digest::Digest;
use crate::base::name::Name;
use crate::fleet::Role;

/// What an order is about. Orders about one target replace each other.
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

/// What the engine is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load a version of the model, or a version's adapter.
    Load {
        /// The version.
        version: u32,
    },
    /// Unload it.
    Unload,
    /// Take a role.
    Become(Role),
    /// Load what an expert map needs.
    Stage {
        /// The map's content.
        map: Digest,
    },
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What it is about.
    pub target: Target,
    /// Rises with each order about the target: a document's generation, or a map's number.
    pub issue: u64,
    /// What is to be done.
    pub action: Action,
}
