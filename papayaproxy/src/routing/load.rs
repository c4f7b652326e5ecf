//! The load of one upstream: its last report, corrected by what this process has sent since.

use super::constants::{
    CALL_SECONDS, PREFILL_RATE, RATE_SPAN, REPORT_HALF, SLOTS, SMOOTHING, STEP_SECONDS,
    USUAL_WEIGHT,
};
use super::request::ModelKey;
use crate::limits::{Circuit, CircuitSettings};
use crate::membership::LoadReport;
use std::collections::VecDeque;
use std::time::Duration;

/// An attempt on its way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub serial: u64,
    pub sent: Duration,
    /// Prompt tokens that the engine has to compute.
    pub tokens: f64,
    /// Tokens ahead of the first one when it was sent, its own included.
    pub ahead: f64,
    /// When it counts as slow if no first token has come.
    pub due: Duration,
    pub started: bool,
    pub overdue: bool,
    /// Whether it is the probe of a half-open circuit.
    pub probe: bool,
}

/// What is known of one upstream's load.
#[derive(Debug)]
pub(crate) struct Load {
    report: Option<LoadReport>,
    /// When the figures of the report were taken.
    pub taken: Duration,
    /// Requests that it reports in the long run.
    usual: f64,
    pub models: Vec<ModelKey>,
    pub attempts: VecDeque<Attempt>,
    /// When attempts ended that the report still counts.
    ended: VecDeque<Duration>,
    /// Learnt prefill rate, in tokens per second.
    pub rate: f64,
    /// Learnt duration of a call, in seconds.
    pub call: f64,
    pub circuit: Circuit,
    /// Since when it takes work, for slow start.
    pub since: Option<Duration>,
    /// Number of the last attempt of the router before this state was made.
    pub born: u64,
    /// Number of the next cache event.
    pub next_event: Option<u64>,
}

impl Load {
    pub(crate) fn new(circuit: CircuitSettings, since: Option<Duration>, born: u64) -> Self {
        Self {
            report: None,
            taken: Duration::ZERO,
            usual: 0.0,
            models: Vec::new(),
            attempts: VecDeque::new(),
            ended: VecDeque::new(),
            rate: PREFILL_RATE,
            call: CALL_SECONDS,
            circuit: Circuit::new(circuit),
            since,
            born,
            next_event: None,
        }
    }

    /// Takes a report that arrived at `now`.
    pub(crate) fn take_report(&mut self, report: &LoadReport, now: Duration) {
        let taken = now.saturating_sub(report.age);
        if self.report.is_some() && taken < self.taken {
            return;
        }
        let loaded = self.report.as_ref().map(|r| &r.loaded);
        if loaded != Some(&report.loaded) {
            self.models = model_keys(report);
        }
        self.taken = taken;
        self.usual += USUAL_WEIGHT * (f64::from(report.queued + report.running) - self.usual);
        self.report = Some(report.clone());
        while self.ended.front().is_some_and(|&e| e <= taken) {
            self.ended.pop_front();
        }
    }

    pub(crate) fn known(&self) -> bool {
        self.report.is_some()
    }

    pub(crate) fn slots(&self) -> u32 {
        self.report.as_ref().map_or(SLOTS, |r| r.slots.max(1))
    }

    /// Mean duration of a decode step, in seconds.
    pub(crate) fn step(&self) -> f64 {
        let reported = self.report.as_ref().map_or(0.0, |r| r.step.as_secs_f64());
        if reported > 0.0 { reported } else { STEP_SECONDS }
    }

    /// Requests in the upstream, waiting and running. Trust in the report fades into the usual number;
    /// `peers` is the number of entries whose sends since the report the own ones stand for.
    pub(crate) fn requests(&self, now: Duration, peers: f64) -> f64 {
        let reported = self.report.as_ref().map_or(0.0, |r| f64::from(r.queued + r.running));
        let age = now.saturating_sub(self.taken).as_secs_f64();
        let trust = (-age / REPORT_HALF).exp2();
        let reported = self.usual + (reported - self.usual) * trust;
        let fresh = self.attempts.iter().rev().take_while(|a| a.sent > self.taken).count();
        let inside = reported + peers * (fresh as f64 - self.ended.len() as f64);
        inside.max(self.attempts.len() as f64)
    }

    /// Prompt tokens that wait for prefill at `now`.
    pub(crate) fn waiting(&self, now: Duration, peers: f64) -> f64 {
        let reported = self.report.as_ref().map_or(0.0, |r| f64::from(r.waiting_tokens));
        let age = now.saturating_sub(self.taken).as_secs_f64();
        let rest = (reported - self.rate * age).max(0.0);
        let fresh = self.attempts.iter().rev().take_while(|a| a.sent > self.taken);
        rest + peers * fresh.filter(|a| !a.started).map(|a| a.tokens).sum::<f64>()
    }

    /// Notes the first token of an attempt.
    pub(crate) fn start(&mut self, serial: u64, now: Duration) -> Option<Attempt> {
        let attempt = self.attempts.iter_mut().find(|a| a.serial == serial)?;
        if attempt.started {
            return None;
        }
        attempt.started = true;
        let found = *attempt;
        let took = now.saturating_sub(found.sent).as_secs_f64().max(1e-3);
        if found.ahead > 0.0 {
            let rate =
                (found.ahead / took).clamp(PREFILL_RATE / RATE_SPAN, PREFILL_RATE * RATE_SPAN);
            self.rate += SMOOTHING * (rate - self.rate);
        }
        Some(found)
    }

    /// Finds an attempt that has no first token past its time, and marks it.
    pub(crate) fn take_overdue(&mut self, now: Duration) -> Option<Attempt> {
        let late = |a: &&mut Attempt| !a.started && !a.overdue && now >= a.due;
        let attempt = self.attempts.iter_mut().find(late)?;
        let found = *attempt;
        attempt.overdue = true;
        attempt.probe = false;
        Some(found)
    }

    /// Notes the end of an attempt; `None` if it is not on its way.
    pub(crate) fn end(&mut self, serial: u64, now: Duration) -> Option<Attempt> {
        let index = self.attempts.iter().position(|a| a.serial == serial)?;
        let attempt = self.attempts.remove(index)?;
        if attempt.sent <= self.taken {
            self.ended.push_back(now);
        }
        Some(attempt)
    }

    /// Learns the duration of a completed call.
    pub(crate) fn learn_call(&mut self, took: Duration) {
        self.call += SMOOTHING * (took.as_secs_f64() - self.call);
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
