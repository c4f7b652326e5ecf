//! How long a group's passes take, and whether they have stopped.

use super::constants::{PASS_SPAN, STALL_LEAST, STALL_PASSES};
use super::message::RankStatus;
use std::time::Duration;

/// Measures passes by the count of those begun.
#[derive(Default)]
pub(crate) struct PassClock {
    at: Duration,
    step: u64,
    /// Milliseconds of a pass, lately; 0 where none runs.
    pub(crate) pass_ms: f64,
    /// When a pass last began, or nothing was to do.
    moved: Duration,
    last: u64,
}

impl PassClock {
    /// Whether there is work and no pass has begun for much longer than one takes.
    pub(crate) fn is_stalled(&self, now: Duration) -> bool {
        let usual = Duration::from_secs_f64(self.pass_ms.min(1000.0) * STALL_PASSES / 1000.0);
        now.saturating_sub(self.moved) > usual.max(STALL_LEAST)
    }

    /// Takes a report.
    pub(crate) fn observe(&mut self, view: &RankStatus, now: Duration) {
        let passed = now.saturating_sub(self.at);
        if view.step != self.last || view.running + view.waiting == 0 || view.held.is_some() {
            (self.last, self.moved) = (view.step, now);
        }
        if view.step < self.step {
            (self.at, self.step, self.pass_ms) = (now, view.step, 0.0);
        } else if passed >= PASS_SPAN {
            let steps = view.step - self.step;
            // The other ranks' requests keep the passes going while this rank has none.
            if steps > 0 {
                self.pass_ms = passed.as_secs_f64() * 1000.0 / steps as f64;
            } else if view.running + view.waiting == 0 {
                self.pass_ms = 0.0;
            }
            (self.at, self.step) = (now, view.step);
        }
    }
}
