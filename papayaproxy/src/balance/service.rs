//! State of one service at one entry: engine figures, retry budget, queue, and the rates at which
//! requests are sent and seats are freed.

use super::admission::Demand;
use super::appointments::Appointments;
use super::ask::SeatRequest;
use super::budget::{Budget, BudgetRule};
use super::constants::{FREE_RATE_MIN, FREE_RATE_WEIGHT, FREED_SEATS_MAX, SEND_RATE_DECAY};
use super::rate::DecayedRate;
use crate::catalog::{EngineFigures, WarmUp};
use std::time::Duration;

/// State of one service at this entry.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    /// Timing figures of the engine; `None` for a plain service.
    pub(crate) engine: Option<EngineFigures>,
    /// Load that its replicas take while they are cold; `None` if they take all from the start on.
    pub(crate) warm_up: Option<WarmUp>,
    pub(crate) budget: Budget,
    /// Demand by priority; used only if the replicas report their load.
    pub(crate) demand: Demand,
    /// Requests that wait for a seat.
    pub(crate) waiting: Vec<SeatRequest>,
    /// Capacity promised to refused requests.
    pub(crate) appointments: Appointments,
    /// Seats freed per second by requests of this entry, as a moving average.
    free_rate: f64,
    last_freed: Duration,
    /// Requests that this entry sends.
    sends: DecayedRate,
}

impl Service {
    /// Creates the state of a service that no request was sent to.
    pub(crate) fn new(rule: BudgetRule) -> Self {
        Self {
            engine: None,
            warm_up: None,
            budget: Budget::new(rule),
            demand: Demand::default(),
            waiting: Vec::new(),
            appointments: Appointments::default(),
            free_rate: 0.0,
            last_freed: Duration::ZERO,
            sends: DecayedRate::new(SEND_RATE_DECAY),
        }
    }

    /// Time that a lock-step group of the service takes to form.
    pub(crate) fn form_time(&self) -> Duration {
        let ms = self.engine.as_ref().map_or(0.0, |e| e.form_ms);
        Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
    }

    /// Updates the rate of freed seats when a seat is released.
    pub(crate) fn record_freed(&mut self, now: Duration) {
        let since = now.saturating_sub(self.last_freed).as_secs_f64().max(0.001);
        self.free_rate += FREE_RATE_WEIGHT * (1.0 / since - self.free_rate);
        self.last_freed = now;
        self.appointments.record_freed(now);
    }

    /// Seats freed per second. The longer none has been freed, the lower the rate.
    pub(crate) fn free_rate(&self, now: Duration) -> f64 {
        let silence = now.saturating_sub(self.last_freed).as_secs_f64().max(0.001);
        self.free_rate.min(FREED_SEATS_MAX / silence).max(FREE_RATE_MIN)
    }

    /// Updates the send rate when a request is sent.
    pub(crate) fn record_send(&mut self, now: Duration) {
        self.sends.record(now);
    }

    /// Requests that this entry sends per second.
    pub(crate) fn send_rate(&self, now: Duration) -> f64 {
        self.sends.now(now)
    }
}
