//! Measures the duration of a group's passes and detects stalls.

use super::constants::{PASS_WINDOW, STALL_MEMORY, STALL_MIN, STALL_PASSES};
use super::message::RankStatus;
use std::time::Duration;

/// Measures the duration of passes from the step numbers in status reports.
#[derive(Default)]
pub(crate) struct PassClock {
    window_start: Duration,
    window_step: u64,
    /// Whether a status has been seen. The passes before the first one took an unknown time.
    has_begun: bool,
    /// Recent duration of a pass in milliseconds; 0 while none runs.
    pub(crate) pass_ms: f64,
    /// When a new pass was last seen, or the rank had no requests or held a pass.
    progress_at: Duration,
    last_step: u64,
    /// Whether the rank had requests and no pass when it last had any.
    saw_stall: bool,
    /// When the rank last had requests.
    busy_at: Duration,
}

impl PassClock {
    /// Whether there are requests and no pass has begun for much longer than one takes.
    pub(crate) fn is_stalled(&self, now: Duration) -> bool {
        let stall_time = Duration::from_secs_f64(self.pass_ms.min(1000.0) * STALL_PASSES / 1000.0);
        now.saturating_sub(self.progress_at) > stall_time.max(STALL_MIN)
    }

    /// Takes a status report of the rank.
    pub(crate) fn observe(&mut self, status: &RankStatus, now: Duration) {
        let elapsed = now.saturating_sub(self.window_start);
        let is_idle = status.running + status.waiting == 0;
        if !is_idle {
            self.busy_at = now;
        }
        // Callers leave a group that stands, so that a rank without requests soon says nothing about
        // the group: a stall that it has seen is believed a while longer.
        if !is_idle || now >= self.busy_at + STALL_MEMORY {
            self.saw_stall = !is_idle && status.step == self.last_step && self.is_stalled(now);
        }
        let is_doubtful = self.saw_stall && status.step == self.last_step;
        if status.step != self.last_step || (is_idle && !is_doubtful) || status.held.is_some() {
            (self.last_step, self.progress_at) = (status.step, now);
        }
        if status.step < self.window_step || !self.has_begun {
            self.has_begun = true;
            (self.window_start, self.window_step, self.pass_ms) = (now, status.step, 0.0);
        } else if elapsed >= PASS_WINDOW {
            let steps = status.step - self.window_step;
            // Passes also run for the other ranks' requests while this rank has none.
            if steps > 0 {
                self.pass_ms = elapsed.as_secs_f64() * 1000.0 / steps as f64;
            } else if status.running + status.waiting == 0 {
                self.pass_ms = 0.0;
            }
            (self.window_start, self.window_step) = (now, status.step);
        }
    }
}
