//! Load of an upstream, estimated from its last report and the attempts that this entry sent since.

use super::constants::{
    DEFAULT_CALL_SECONDS, DEFAULT_SLOTS, DEFAULT_STEP_SECONDS, MEAN_REQUESTS_WEIGHT,
    PREFILL_RATE_FACTOR, PREFILL_TOKENS_PER_SECOND, REPORT_HALF_LIFE_SECONDS, SAMPLE_WEIGHT,
};
use super::request::ModelKey;
use crate::limits::{Circuit, CircuitSettings};
use crate::membership::LoadReport;
use std::collections::VecDeque;
use std::time::Duration;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub serial: u64,
    pub sent_at: Duration,
    /// Prompt tokens that are not expected in the cache.
    pub prefill_tokens: f64,
    /// Tokens to prefill before its first token, its own included, when it was sent; 0 for a plain
    /// service.
    pub tokens_ahead: f64,
    /// Time from which it is overdue if it has not started.
    pub overdue_at: Duration,
    /// Whether its first token or byte has arrived.
    pub is_started: bool,
    /// Whether it was reported as overdue.
    pub is_overdue: bool,
    /// Whether it is the probe of a half-open circuit.
    pub is_probe: bool,
}

/// Load of one upstream.
#[derive(Debug)]
pub(crate) struct Load {
    report: Option<LoadReport>,
    /// Time at which the figures of the last report were measured.
    pub measured_at: Duration,
    /// Moving average of the requests reported, waiting and running.
    mean_requests: f64,
    /// Loaded models, each with and without its adapters.
    pub models: Vec<ModelKey>,
    /// Attempts in flight, in the order of sending.
    pub attempts: VecDeque<Attempt>,
    /// End times of attempts that the last report still counts.
    recent_ends: VecDeque<Duration>,
    /// Moving average of the prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// Moving average of the duration of completed attempts, in seconds.
    pub call_seconds: f64,
    pub circuit: Circuit,
    /// Start of slow start; `None` without slow start.
    pub slow_start_at: Option<Duration>,
    /// Serial number of the router's last attempt when this state was created. Attempts up to it
    /// may be unknown here.
    pub base_serial: u64,
    /// Expected sequence number of the next cache event; `None` before the first.
    pub next_event: Option<u64>,
}

impl Load {
    pub(crate) fn new(
        circuit: CircuitSettings,
        slow_start_at: Option<Duration>,
        base_serial: u64,
    ) -> Self {
        Self {
            report: None,
            measured_at: Duration::ZERO,
            mean_requests: 0.0,
            models: Vec::new(),
            attempts: VecDeque::new(),
            recent_ends: VecDeque::new(),
            prefill_rate: PREFILL_TOKENS_PER_SECOND,
            call_seconds: DEFAULT_CALL_SECONDS,
            circuit: Circuit::new(circuit),
            slow_start_at,
            base_serial,
            next_event: None,
        }
    }

    /// Applies a report received at `now`, unless its figures are older than those of the last one.
    pub(crate) fn apply_report(&mut self, report: &LoadReport, now: Duration) {
        let measured_at = now.saturating_sub(report.age);
        if self.report.is_some() && measured_at < self.measured_at {
            return;
        }
        let loaded = self.report.as_ref().map(|r| &r.loaded);
        if loaded != Some(&report.loaded) {
            self.models = model_keys(report);
        }
        self.measured_at = measured_at;
        self.mean_requests +=
            MEAN_REQUESTS_WEIGHT * (f64::from(report.queued + report.running) - self.mean_requests);
        self.report = Some(report.clone());
        while self.recent_ends.front().is_some_and(|&e| e <= measured_at) {
            self.recent_ends.pop_front();
        }
    }

    pub(crate) fn has_report(&self) -> bool {
        self.report.is_some()
    }

    pub(crate) fn slots(&self) -> u32 {
        self.report.as_ref().map_or(DEFAULT_SLOTS, |r| r.slots.max(1))
    }

    /// Mean duration of a decode step in seconds, or [`DEFAULT_STEP_SECONDS`] if not reported.
    pub(crate) fn step_seconds(&self) -> f64 {
        let reported = self.report.as_ref().map_or(0.0, |r| r.step.as_secs_f64());
        if reported > 0.0 { reported } else { DEFAULT_STEP_SECONDS }
    }

    /// Estimated requests in the upstream, waiting and running. The reported number decays to its
    /// moving average with age; `entries_factor` extrapolates the attempts of this entry since the
    /// report to all entries.
    pub(crate) fn requests(&self, now: Duration, entries_factor: f64) -> f64 {
        let reported = self.report.as_ref().map_or(0.0, |r| f64::from(r.queued + r.running));
        let age = now.saturating_sub(self.measured_at).as_secs_f64();
        let trust = (-age / REPORT_HALF_LIFE_SECONDS).exp2();
        let reported = self.mean_requests + (reported - self.mean_requests) * trust;
        let since_report =
            self.attempts.iter().rev().take_while(|a| a.sent_at > self.measured_at).count();
        let requests =
            reported + entries_factor * (since_report as f64 - self.recent_ends.len() as f64);
        requests.max(self.attempts.len() as f64)
    }

    /// Estimated prompt tokens waiting for prefill at `now`.
    pub(crate) fn waiting_tokens(&self, now: Duration, entries_factor: f64) -> f64 {
        let reported = self.report.as_ref().map_or(0.0, |r| f64::from(r.waiting_tokens));
        let age = now.saturating_sub(self.measured_at).as_secs_f64();
        let remaining = (reported - self.prefill_rate * age).max(0.0);
        let since_report = self.attempts.iter().rev().take_while(|a| a.sent_at > self.measured_at);
        remaining
            + entries_factor
                * since_report.filter(|a| !a.is_started).map(|a| a.prefill_tokens).sum::<f64>()
    }

    /// Records the first token or byte of an attempt; `None` if it is unknown or has already
    /// started.
    pub(crate) fn record_start(&mut self, serial: u64, now: Duration) -> Option<Attempt> {
        let attempt = self.attempts.iter_mut().find(|a| a.serial == serial)?;
        if attempt.is_started {
            return None;
        }
        attempt.is_started = true;
        let found = *attempt;
        let took = now.saturating_sub(found.sent_at).as_secs_f64().max(1e-3);
        if found.tokens_ahead > 0.0 {
            let rate = (found.tokens_ahead / took).clamp(
                PREFILL_TOKENS_PER_SECOND / PREFILL_RATE_FACTOR,
                PREFILL_TOKENS_PER_SECOND * PREFILL_RATE_FACTOR,
            );
            self.prefill_rate += SAMPLE_WEIGHT * (rate - self.prefill_rate);
        }
        Some(found)
    }

    /// Finds one overdue attempt and marks it, so that it is returned only once.
    pub(crate) fn take_overdue(&mut self, now: Duration) -> Option<Attempt> {
        let is_overdue = |a: &&mut Attempt| !a.is_started && !a.is_overdue && now >= a.overdue_at;
        let attempt = self.attempts.iter_mut().find(is_overdue)?;
        let found = *attempt;
        attempt.is_overdue = true;
        attempt.is_probe = false;
        Some(found)
    }

    /// Removes an attempt that has ended; `None` if it is not in flight.
    pub(crate) fn record_end(&mut self, serial: u64, now: Duration) -> Option<Attempt> {
        let index = self.attempts.iter().position(|a| a.serial == serial)?;
        let attempt = self.attempts.remove(index)?;
        if attempt.sent_at <= self.measured_at {
            self.recent_ends.push_back(now);
        }
        Some(attempt)
    }

    /// Updates the moving average of the duration of attempts.
    pub(crate) fn record_call(&mut self, took: Duration) {
        self.call_seconds += SAMPLE_WEIGHT * (took.as_secs_f64() - self.call_seconds);
    }
}

fn model_keys(report: &LoadReport) -> Vec<ModelKey> {
    let keys = |m: &crate::membership::LoadedModel| {
        let bare = ModelKey::new(&m.model, m.version, None);
        let with = m.adapters.iter().map(|a| ModelKey::new(&m.model, m.version, Some(a)));
        std::iter::once(bare).chain(with).collect::<Vec<_>>()
    };
    report.loaded.iter().flat_map(keys).collect()
}
