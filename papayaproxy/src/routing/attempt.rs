//! What the router is told of attempts and caches, and what it tells of them.

use super::events;
use crate::base::name::Name;
use crate::limits::CircuitState;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Completed {
        /// Prompt tokens that the engine took from its cache, if it says so.
        cached_tokens: Option<u32>,
    },
    /// The upstream failed: connection lost, error status or broken stream.
    Failed,
    /// The agent refused it as `not-run` for want of room or because it is leaving.
    Refused,
    /// The caller or the entry gave it up; it says nothing of the upstream.
    Cancelled,
}

/// Proof that an attempt was sent. It is settled once, by [`Router::record_end`].
#[derive(Debug)]
#[must_use]
pub struct Ticket {
    pub(super) serial: u64,
    pub(super) name: Name,
    pub(super) workspace: u32,
    pub(super) prefix: Vec<u64>,
    /// Prompt tokens that the cache was expected to hold.
    pub(super) cached: u32,
}

impl Ticket {
    /// Number of the attempt, unique within its router.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// The upstream that it was sent to.
    pub fn upstream(&self) -> &Name {
        &self.name
    }
}

/// An attempt without a first token past its time. The entry may cancel and retry it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverdueAttempt {
    /// Number of the attempt.
    pub serial: u64,
    /// The upstream that it was sent to.
    pub upstream: Name,
}

/// A change of an upstream's circuit, to be logged and counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CircuitChange {
    /// The upstream.
    pub upstream: Name,
    /// The new state of its circuit.
    pub state: CircuitState,
}

impl CircuitChange {
    /// Writes the log line of the change.
    pub fn log(&self) {
        tracing::info!(
            event = events::CIRCUIT_CHANGED,
            upstream = %self.upstream,
            state = self.state.as_str(),
            "circuit changed"
        );
    }
}

/// A cache event of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The engine now holds the blocks.
    Stored {
        /// The workspace that they belong to.
        workspace: Name,
        /// Their hashes.
        prefix: Vec<u64>,
    },
    /// The engine dropped the blocks.
    Evicted {
        /// Their hashes.
        prefix: Vec<u64>,
    },
    /// The engine dropped everything.
    Cleared,
}
