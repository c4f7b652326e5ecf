//! What all links of one process share.

use super::handshake::Identity;
use super::secret::Secrets;
use std::sync::atomic::{AtomicU64, Ordering};

/// Gives the generation of the document in force.
pub type GenerationSource = Box<dyn Fn() -> u64 + Send + Sync>;

/// Called with the generation of a peer whose document is newer than the one in force here.
pub type NewerHook = Box<dyn Fn(u64) + Send + Sync>;

/// Counters of a process' links.
#[derive(Debug, Default)]
pub struct LinkStats {
    /// Replies that matched no call in progress: late, repeated or crossed.
    pub dropped: AtomicU64,
    /// Links that closed.
    pub closed: AtomicU64,
}

/// Identity, keys and counters of a process, shared by its links.
pub struct LinkContext {
    /// Who this process is.
    pub identity: Identity,
    /// Keys in force.
    pub secrets: Secrets,
    /// Counters.
    pub stats: LinkStats,
    generation: GenerationSource,
    next_call: AtomicU64,
    newer: NewerHook,
}

impl LinkContext {
    /// Makes the context. Frames carry what `generation` gives; `newer` is called when a peer has
    /// a newer document.
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
