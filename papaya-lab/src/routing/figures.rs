//! What is measured in a run.

use hdrhistogram::Histogram;
use std::time::Duration;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The whole answer came.
    Answered,
    /// It was answered `not-run`.
    Refused,
    /// It failed after it may have run.
    Lost,
}

/// Figures of one run.
pub(crate) struct Figures {
    first: Histogram<u64>,
    /// First tokens of workspaces that stay within their share.
    pub calm_first: Histogram<u64>,
    gap: Histogram<u64>,
    plain: Histogram<u64>,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    pub offered: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub calm_refused: u64,
    pub lost: u64,
    pub retries: u64,
    pub changes: u64,
    /// Requests answered in time by second.
    pub by_second: Vec<u64>,
    /// First tokens by second, in milliseconds.
    pub first_by_second: Vec<Vec<f64>>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid")
}

impl Figures {
    pub(crate) fn new() -> Self {
        Self {
            first: histogram(),
            calm_first: histogram(),
            gap: histogram(),
            plain: histogram(),
            prompt_tokens: 0,
            cached_tokens: 0,
            offered: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            calm_refused: 0,
            lost: 0,
            retries: 0,
            changes: 0,
            by_second: Vec::new(),
            first_by_second: Vec::new(),
        }
    }

    pub(crate) fn note_first(&mut self, took: Duration, at: Duration, calm: bool) {
        self.first.saturating_record(took.as_micros() as u64);
        if calm {
            self.calm_first.saturating_record(took.as_micros() as u64);
        }
        let second = at.as_secs() as usize;
        if self.first_by_second.len() <= second {
            self.first_by_second.resize(second + 1, Vec::new());
        }
        self.first_by_second[second].push(took.as_secs_f64() * 1e3);
    }

    pub(crate) fn note_gap(&mut self, step: Duration, count: u64) {
        self.gap.saturating_record_n(step.as_micros() as u64, count);
    }

    pub(crate) fn note_plain(&mut self, took: Duration) {
        self.plain.saturating_record(took.as_micros() as u64);
    }

    pub(crate) fn note_in_time(&mut self, at: Duration) {
        self.in_time += 1;
        let second = at.as_secs() as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, 0);
        }
        self.by_second[second] += 1;
    }

    /// A quantile of the first token, in milliseconds.
    pub(crate) fn first(&self, quantile: f64) -> f64 {
        self.first.value_at_quantile(quantile) as f64 / 1e3
    }

    /// A quantile of the first token of workspaces within their share, in milliseconds.
    pub(crate) fn calm(&self, quantile: f64) -> f64 {
        self.calm_first.value_at_quantile(quantile) as f64 / 1e3
    }

    /// A quantile of the time between tokens, in milliseconds.
    pub(crate) fn gap(&self, quantile: f64) -> f64 {
        self.gap.value_at_quantile(quantile) as f64 / 1e3
    }

    /// A quantile of the plain calls, in milliseconds.
    pub(crate) fn plain(&self, quantile: f64) -> f64 {
        self.plain.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Part of the prompt tokens that came from caches.
    pub(crate) fn hit_rate(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }
}

/// The `part` quantile of some values.
pub(crate) fn quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * part) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
