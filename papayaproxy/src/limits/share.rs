//! Share of a fleet-wide limit that one entry may grant.
//!
//! The limit is divided by the number of live entries that this one sees. During a network
//! partition an entry sees fewer of them; its share then grows to at most [`PARTITION_FACTOR`]
//! times the previous one, so that all sides of the partition together grant at most that multiple
//! of the limit.

use super::constants::{ENTRY_EXPIRY, PARTITION_FACTOR};
use std::time::Duration;

/// Tracks the number of live entries and computes the share of this one.
#[derive(Clone, Debug)]
pub struct EntryShare {
    live: u32,
    /// Most entries seen; falls by one per [`ENTRY_EXPIRY`] while fewer are live.
    peak: u32,
    peak_changed: Duration,
}

impl Default for EntryShare {
    fn default() -> Self {
        Self { live: 1, peak: 1, peak_changed: Duration::ZERO }
    }
}

impl EntryShare {
    /// Updates the number of live entries seen at `now`, this one included.
    pub fn observe(&mut self, live: u32, now: Duration) {
        self.live = live.max(1);
        if self.live >= self.peak {
            self.peak = self.live;
            self.peak_changed = now;
        } else if now.saturating_sub(self.peak_changed) >= ENTRY_EXPIRY {
            self.peak -= 1;
            self.peak_changed = now;
        }
    }

    /// Number that a fleet-wide limit is divided by; at least 1.
    pub fn divisor(&self) -> u32 {
        self.live.max(self.peak.div_ceil(PARTITION_FACTOR))
    }

    /// Share of a fleet-wide limit that this entry may grant.
    pub fn of(&self, limit: f64) -> f64 {
        limit / f64::from(self.divisor())
    }
}
