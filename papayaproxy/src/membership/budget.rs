//! Rate limit of document reads and backoff of platform calls.

use super::constants::{BACKOFF_MAX, BACKOFF_MIN, CALLS_BURST, CALLS_RATE};
use rand::{Rng, RngExt};
use std::time::Duration;

/// Token bucket for reads and watches of the document.
#[derive(Clone, Debug)]
pub(crate) struct CallBudget {
    tokens: f64,
    refilled: Duration,
}

impl CallBudget {
    /// Starts with a full bucket.
    pub(crate) fn new(now: Duration) -> Self {
        Self { tokens: CALLS_BURST, refilled: now }
    }

    /// Takes a token and returns the delay before the call may be made.
    pub(crate) fn reserve(&mut self, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * CALLS_RATE).min(CALLS_BURST);
        self.refilled = now;
        self.tokens -= 1.0;
        Duration::from_secs_f64((-self.tokens / CALLS_RATE).max(0.0))
    }
}

/// Delay after `failures` consecutive failures: exponential and capped, with up to 50 % of jitter.
pub(crate) fn backoff(failures: u32, rng: &mut impl Rng) -> Duration {
    let delay = BACKOFF_MIN.saturating_mul(1 << failures.saturating_sub(1).min(16));
    delay.min(BACKOFF_MAX).mul_f64(rng.random_range(0.5..1.0))
}
