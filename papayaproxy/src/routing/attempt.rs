//! Attempts, cache events and circuit changes, as exchanged with the router.

use super::events;
use crate::base::name::Name;
use crate::limits::CircuitState;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer was received in full.
    Completed {
        /// Prompt tokens served from the engine's cache; `None` if not reported.
        cached_tokens: Option<u32>,
    },
    /// The upstream failed: connection lost, error status or broken stream.
    Failed,
    /// The agent refused it with the outcome `not-run`, being full or leaving.
    Refused,
    /// The caller or the entry cancelled it, which says nothing about the upstream.
    Cancelled,
}

/// An attempt that was sent and is not yet settled; consumed by
/// [`Router::record_end`](super::Router::record_end).
#[derive(Debug)]
#[must_use]
pub struct Ticket {
    pub(super) serial: u64,
    pub(super) upstream: Name,
    pub(super) workspace: u32,
    pub(super) prefix: Vec<u64>,
    /// Prompt tokens that the upstream's cache was expected to hold.
    pub(super) cached_tokens: u32,
}

impl Ticket {
    /// Serial number of the attempt, unique within its router.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Name of the upstream that the attempt was sent to.
    pub fn upstream(&self) -> &Name {
        &self.upstream
    }
}

/// An attempt whose first token or byte is overdue. The entry may cancel and retry it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverdueAttempt {
    /// Serial number of the attempt.
    pub serial: u64,
    /// Name of the upstream that the attempt was sent to.
    pub upstream: Name,
}

/// A change of the state of an upstream's circuit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CircuitChange {
    /// Name of the upstream.
    pub upstream: Name,
    /// New state of the circuit.
    pub state: CircuitState,
}

impl CircuitChange {
    /// Logs the change.
    pub fn log(&self) {
        tracing::info!(
            event = events::CIRCUIT_CHANGED,
            upstream = %self.upstream,
            state = self.state.as_str(),
            "circuit changed"
        );
    }
}

/// A prefix-cache event of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// Blocks were added to the cache.
    Stored {
        /// Workspace that the blocks belong to.
        workspace: Name,
        /// Block hashes, in the order of the prefix.
        prefix: Vec<u64>,
    },
    /// Blocks were evicted from the cache.
    Evicted {
        /// Block hashes, in the order of the prefix.
        prefix: Vec<u64>,
    },
    /// The cache was cleared.
    Cleared,
}
