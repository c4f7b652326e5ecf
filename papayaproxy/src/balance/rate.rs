//! Exponentially decayed rate of events.

use std::time::Duration;

/// Rate of events, which decays with the time constant `decay`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedRate {
    decay: Duration,
    /// Events per second as of `at`.
    per_second: f64,
    at: Duration,
}

impl DecayedRate {
    /// The rate before the first event.
    pub(crate) fn new(decay: Duration) -> Self {
        Self { decay, per_second: 0.0, at: Duration::ZERO }
    }

    /// Events per second.
    pub(crate) fn now(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.per_second * (-age / self.decay.as_secs_f64()).exp()
    }

    /// Counts an event.
    pub(crate) fn record(&mut self, now: Duration) {
        self.per_second = self.now(now) + 1.0 / self.decay.as_secs_f64();
        self.at = now;
    }
}
