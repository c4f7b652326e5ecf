//! Bounds the calls to the platform and spaces them after failures.

use super::constants::{BACK_OFF_MAX, BACK_OFF_MIN, CALLS_BURST, CALLS_RATE};
use rand::{Rng, RngExt};
use std::time::Duration;

/// Tokens for calls, refilled at a fixed rate.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    tokens: f64,
    filled: Duration,
}

impl Budget {
    /// A full budget.
    pub(crate) fn new(now: Duration) -> Self {
        Self { tokens: CALLS_BURST, filled: now }
    }

    /// Takes one call; gives the time to wait before it is made.
    pub(crate) fn take(&mut self, now: Duration) -> Duration {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * CALLS_RATE).min(CALLS_BURST);
        self.filled = now;
        self.tokens -= 1.0;
        Duration::from_secs_f64((-self.tokens / CALLS_RATE).max(0.0))
    }
}

/// Pause after the `failures`-th failure in a row: doubling, bounded, with jitter of one half.
pub(crate) fn back_off(failures: u32, rng: &mut impl Rng) -> Duration {
    let doubled = BACK_OFF_MIN.saturating_mul(1 << failures.saturating_sub(1).min(16));
    doubled.min(BACK_OFF_MAX).mul_f64(rng.random_range(0.5..1.0))
}
