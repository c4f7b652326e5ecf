//! A rate limit: a bucket that fills at a constant rate.

use std::time::Duration;

/// A bucket of permits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    /// Permits that flow in, a second.
    rate: f64,
    /// Permits that it holds at most.
    burst: f64,
    level: f64,
    at: Duration,
}

impl Budget {
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, level: burst, at: Duration::ZERO }
    }

    /// Takes one permit if there is one.
    pub(crate) fn take(&mut self, now: Duration) -> bool {
        self.fill(now);
        let granted = self.level >= 1.0;
        self.level -= if granted { 1.0 } else { 0.0 };
        granted
    }

    /// Takes `amount` permits in advance and gives the time to wait for them.
    pub(crate) fn reserve(&mut self, now: Duration, amount: f64) -> Duration {
        self.fill(now);
        self.level -= amount;
        Duration::from_secs_f64((-self.level / self.rate).max(0.0))
    }

    fn fill(&mut self, now: Duration) {
        let flown = now.saturating_sub(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + flown).min(self.burst);
        self.at = self.at.max(now);
    }
}
