//! Cache events as readers get them: late, and with some missing.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::collections::VecDeque;
use std::time::Duration;

/// Events that are kept for readers.
const EVENTS_KEPT: usize = 4096;

/// What became of a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Kind {
    Stored,
    Evicted,
    Cleared,
}

/// A change of the cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    kind: Kind,
    workspace: String,
    prefix: u64,
    tokens: u32,
}

impl Change {
    pub(crate) fn new(kind: Kind, workspace: &str, prefix: u64, tokens: u32) -> Self {
        Self { kind, workspace: workspace.to_owned(), prefix, tokens }
    }
}

/// A cache event as it is published.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    seq: u64,
    kind: Kind,
    workspace: String,
    /// 16 hexadecimal digits.
    prefix: String,
    tokens: u32,
}

/// A page of events.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Page {
    /// Events from the number that was asked for.
    pub(crate) events: Vec<CacheEvent>,
    /// Number to ask for next.
    pub(crate) next: u64,
}

struct Stamped {
    at: Duration,
    event: CacheEvent,
}

/// The recent events.
pub(crate) struct Journal {
    events: VecDeque<Stamped>,
    next: u64,
    lag: Duration,
    gaps: u16,
    rng: SmallRng,
}

impl Journal {
    pub(crate) fn new(lag: Duration, gaps: u16, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { events: VecDeque::new(), next: 0, lag, gaps, rng }
    }

    /// Numbers the changes and keeps them, but for those that get lost.
    pub(crate) fn write(&mut self, now: Duration, changes: Vec<Change>) {
        for change in changes {
            let seq = self.next;
            self.next += 1;
            if self.rng.random_range(0..1000) < self.gaps {
                continue;
            }
            let prefix = format!("{:016x}", change.prefix);
            let Change { kind, workspace, tokens, .. } = change;
            let event = CacheEvent { seq, kind, workspace, prefix, tokens };
            self.events.push_back(Stamped { at: now, event });
        }
        let excess = self.events.len().saturating_sub(EVENTS_KEPT);
        self.events.drain(..excess);
    }

    /// Events from number `from` that are old enough to be seen.
    pub(crate) fn read(&self, now: Duration, from: u64) -> Page {
        let visible = self.events.iter().filter(|s| s.at + self.lag <= now);
        let due = visible.filter(|s| s.event.seq >= from);
        let events: Vec<CacheEvent> = due.map(|s| s.event.clone()).collect();
        let next = events.last().map_or(from, |e| e.seq + 1);
        Page { events, next }
    }
}
