//! The part of a fleet-wide limit that one entry may grant.
//!
//! It follows the live entries that this one sees. An entry that is cut off sees fewer of them; its
//! part grows to no more than [`CUT_BOUND`] times the part it had, so that all sides of a partition
//! together grant at most that many times the limit.

use super::constants::{CUT_BOUND, FORGET_ENTRY};
use std::time::Duration;

/// Counts the live entries and gives this entry's part.
#[derive(Clone, Debug)]
pub struct EntryShare {
    live: u32,
    /// The most entries seen of late.
    known: u32,
    lowered: Duration,
}

impl Default for EntryShare {
    fn default() -> Self {
        Self { live: 1, known: 1, lowered: Duration::ZERO }
    }
}

impl EntryShare {
    /// Takes the number of live entries seen at `now`, this one included.
    pub fn observe(&mut self, live: u32, now: Duration) {
        self.live = live.max(1);
        if self.live >= self.known {
            self.known = self.live;
            self.lowered = now;
        } else if now.saturating_sub(self.lowered) >= FORGET_ENTRY {
            self.known -= 1;
            self.lowered = now;
        }
    }

    /// The number that a fleet-wide limit is divided by.
    pub fn divisor(&self) -> u32 {
        self.live.max(self.known.div_ceil(CUT_BOUND))
    }

    /// This entry's part of a fleet-wide limit.
    pub fn of(&self, limit: f64) -> f64 {
        limit / f64::from(self.divisor())
    }
}
