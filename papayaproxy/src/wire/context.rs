//! Identity, keys and counters shared by all links of a process.

use super::handshake::Identity;
use super::secret::Secrets;
use std::sync::atomic::{AtomicU64, Ordering};

/// Returns the generation of the fleet document in force.
pub type GenerationSource = Box<dyn Fn() -> u64 + Send + Sync>;

/// Called with a peer's generation when it is newer than the one in force in this process.
pub type NewerHook = Box<dyn Fn(u64) + Send + Sync>;

/// Counters of a process' links.
#[derive(Debug, Default)]
pub struct LinkStats {
    /// Replies that matched no call in progress: late, duplicate or misdirected.
    pub dropped: AtomicU64,
    /// Links to agents that have closed, for any cause.
    pub closed: AtomicU64,
}

/// Identity, keys and counters of a process, shared by its links.
pub struct LinkContext {
    /// Name and incarnation that this process sends in its hellos.
    pub identity: Identity,
    /// Link keys in force.
    pub secrets: Secrets,
    /// Counters over all links since the start of the process.
    pub stats: LinkStats,
    generation: GenerationSource,
    next_call: AtomicU64,
    newer: NewerHook,
}

impl LinkContext {
    /// Creates the context. Each frame sent has the value of `generation`; `newer` is called for
    /// each frame from a peer with a newer document.
    pub fn new(
        identity: Identity,
        secrets: Secrets,
        generation: GenerationSource,
        newer: NewerHook,
    ) -> Self {
        Self {
            identity,
            secrets,
            stats: LinkStats::default(),
            generation,
            next_call: AtomicU64::new(1),
            newer,
        }
    }

    pub(crate) fn generation(&self) -> u64 {
        (self.generation)()
    }

    pub(crate) fn next_call(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn observe(&self, generation: u64) {
        if generation > self.generation() {
            (self.newer)(generation);
        }
    }

    pub(crate) fn count_dropped(&self) {
        self.stats.dropped.fetch_add(1, Ordering::Relaxed);
    }
}
