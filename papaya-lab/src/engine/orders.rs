//! Orders to an engine, with or without a check of the fencing number.

use super::settings::LoadedModel;
use serde::{Deserialize, Serialize};

/// What an engine can be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Order {
    /// Load a model's version with adapters.
    Load(LoadedModel),
    /// Give up a model's version.
    Unload {
        /// The model.
        model: String,
        /// Its version.
        version: u32,
    },
    /// Change the role.
    Role {
        /// `mixed`, `prefill` or `decode`.
        role: String,
    },
    /// Forget every cached prefix.
    Clear,
}

/// An order with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The number; an engine that checks refuses one below the highest it has seen.
    pub fence: u64,
    /// The order.
    pub order: Order,
}

/// An engine that refuses an old number names the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceState {
    /// The highest number seen.
    pub fence: u64,
}

/// The orders taken so far.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    check: bool,
    highest: u64,
    taken: Vec<FencedOrder>,
}

impl Orders {
    pub(crate) fn new(check: bool) -> Self {
        Self { check, ..Self::default() }
    }

    /// Takes an order, or refuses an old number where numbers are checked.
    pub(crate) fn take(&mut self, order: FencedOrder) -> Result<(), FenceState> {
        if self.check && order.fence < self.highest {
            return Err(FenceState { fence: self.highest });
        }
        self.highest = self.highest.max(order.fence);
        self.taken.push(order);
        Ok(())
    }

    pub(crate) fn taken(&self) -> &[FencedOrder] {
        &self.taken
    }
}
