//! Evens out the gaps between the events of a stream, as a playout buffer does. Without I/O or
//! clock.
//!
//! Passes of a lock-step group get longer for a few moments whenever demand shifts. Events that
//! arrive in short gaps are held back a little, so that the reserve covers the next long gap.

use super::constants::{PACE_DELAY_RATIO, PACE_GAP_RATIO};
use std::time::Duration;

/// Release times for the events of one stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pacer {
    /// Gap up to which an event is held back.
    gap: Duration,
    /// Longest time for which an event is held back.
    delay: Duration,
    /// Time from which no event is held back, since the caller or the route is about to give up.
    until: Duration,
    last: Option<Duration>,
}

impl Pacer {
    /// Keeps gaps below `gap_target` where that needs no event to be held back for `delay_limit`.
    /// Holds nothing back without a gap target, and near the `deadline`.
    pub(crate) fn new(
        gap_target: Option<Duration>,
        delay_limit: Duration,
        deadline: Duration,
    ) -> Self {
        let delay = match gap_target {
            Some(_) => delay_limit.mul_f64(PACE_DELAY_RATIO),
            None => Duration::ZERO,
        };
        Self {
            gap: gap_target.unwrap_or_default().mul_f64(PACE_GAP_RATIO),
            delay,
            until: deadline.saturating_sub(delay_limit),
            last: None,
        }
    }

    /// When the event that arrived at `arrived` is to be sent. Events are passed in order.
    pub(crate) fn release_at(&mut self, arrived: Duration) -> Duration {
        let latest = match self.last {
            Some(last) if arrived < self.until => (last + self.gap).min(arrived + self.delay),
            _ => arrived,
        };
        let release = latest.max(arrived).max(self.last.unwrap_or_default());
        self.last = Some(release);
        release
    }
}
