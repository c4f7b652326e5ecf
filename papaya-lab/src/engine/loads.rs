//! Load reports that reach their readers late.

use super::settings::LoadedModel;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Reports that are kept until they are old enough to be read.
const REPORTS_KEPT: usize = 1024;

/// A load report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Rises with each report.
    pub sequence: u64,
    /// Age when it is read, in milliseconds.
    pub age_ms: u64,
    /// Sequences that wait.
    pub queued: u32,
    /// Sequences that run.
    pub running: u32,
    /// Sequences that can run.
    pub slots: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_tokens: u32,
    /// Used part of the KV cache, from 0 to 1000.
    pub kv_permille: u16,
    /// Mean duration of a step, in microseconds.
    pub step_us: u64,
    /// Models that are ready.
    pub loaded: Vec<LoadedModel>,
}

/// The recent reports, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    reports: VecDeque<(Duration, Report)>,
    sequence: u64,
}

impl Loads {
    /// Takes a report made at `now`.
    pub(crate) fn write(&mut self, now: Duration, report: Report) {
        self.sequence += 1;
        self.reports.push_back((now, Report { sequence: self.sequence, ..report }));
        if self.reports.len() > REPORTS_KEPT {
            self.reports.pop_front();
        }
    }

    /// The newest report that is at least `lag` old, else the oldest.
    pub(crate) fn read(&self, now: Duration, lag: Duration) -> Report {
        let old = self.reports.iter().rev().find(|(at, _)| *at + lag <= now);
        let Some((at, report)) = old.or(self.reports.front()) else {
            return Report::default();
        };
        let age_ms = now.saturating_sub(*at).as_millis() as u64;
        Report { age_ms, ..report.clone() }
    }
}
