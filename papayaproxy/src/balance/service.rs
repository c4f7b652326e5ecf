//! What one entry knows of a service: its engine, its budget, who waits, and how fast seats turn.

use super::ask::SeatRequest;
use super::budget::{Budget, BudgetRule};
use super::constants::{FREED_LEAST, FREED_MOST, RATE_WEIGHT, SEND_SPAN};
use crate::catalog::EngineFigures;
use std::time::Duration;

/// One service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    /// Figures of its engine; `None` for a plain service.
    pub(crate) engine: Option<EngineFigures>,
    /// What may be repeated.
    pub(crate) budget: Budget,
    /// Requests without a seat.
    pub(crate) waiting: Vec<SeatRequest>,
    /// Seats freed a second, by requests of this entry.
    rate: f64,
    freed: Duration,
    /// Sends of this entry, the older ones counted less.
    sent: f64,
    counted: Duration,
}

impl Service {
    /// A service that nothing was sent to.
    pub(crate) fn new(rule: BudgetRule) -> Self {
        Self {
            engine: None,
            budget: Budget::new(rule),
            waiting: Vec::new(),
            rate: 0.0,
            freed: Duration::ZERO,
            sent: 0.0,
            counted: Duration::ZERO,
        }
    }

    /// Takes note of a seat that is handed back.
    pub(crate) fn count_freed(&mut self, now: Duration) {
        let since = now.saturating_sub(self.freed).as_secs_f64().max(0.001);
        self.rate += RATE_WEIGHT * (1.0 / since - self.rate);
        self.freed = now;
    }

    /// Seats freed a second. The longer none was, the less the rate before counts.
    pub(crate) fn free_rate(&self, now: Duration) -> f64 {
        let silence = now.saturating_sub(self.freed).as_secs_f64().max(0.001);
        self.rate.min(FREED_MOST / silence).max(FREED_LEAST)
    }

    /// Takes note of a send.
    pub(crate) fn count_send(&mut self, now: Duration) {
        self.sent = self.send_rate(now) * SEND_SPAN.as_secs_f64() + 1.0;
        self.counted = now;
    }

    /// Sends of this entry a second.
    pub(crate) fn send_rate(&self, now: Duration) -> f64 {
        let span = SEND_SPAN.as_secs_f64();
        self.sent * (-now.saturating_sub(self.counted).as_secs_f64() / span).exp() / span
    }
}
