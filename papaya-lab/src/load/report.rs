//! What a run of the load tool found.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Percentiles of a time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// Measured times.
    pub count: u64,
    /// Half are at most this.
    pub p50_us: u64,
    /// 95 of 100 are at most this.
    pub p95_us: u64,
    /// 99 of 100 are at most this.
    pub p99_us: u64,
    /// The longest.
    pub max_us: u64,
}

impl Latency {
    /// The percentiles of `histogram`, which is in microseconds.
    pub(crate) fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.50),
            p95_us: histogram.value_at_quantile(0.95),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |us: u64| us as f64 / 1000.0;
        let Self { p50_us, p95_us, p99_us, max_us, count } = *self;
        let (p50, p95, p99, max) = (millis(p50_us), millis(p95_us), millis(p99_us), millis(max_us));
        write!(f, "p50 {p50:9.3} ms  p95 {p95:9.3} ms  p99 {p99:9.3} ms  max {max:9.3} ms")?;
        write!(f, "  ({count} times)")
    }
}

/// What a run found.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// From the first call to the end of the last, in seconds.
    pub seconds: f64,
    /// Calls sent.
    pub sent: u64,
    /// Calls not sent, since too many were in progress.
    pub skipped: u64,
    /// Calls whose answer ended after their deadline.
    pub late: u64,
    /// Calls by what came of them: `completed`, `not-run`, `unknown`, `wrong`, `cut`.
    pub outcomes: IndexMap<String, u64>,
    /// Calls by result code.
    pub codes: IndexMap<String, u64>,
    /// The first answers that were wrong or cut, word for word.
    pub faults: Vec<String>,
    /// References of plain calls that were stated not to have run.
    pub not_run: Vec<String>,
    /// Time to the first byte of a streamed answer.
    pub first: Latency,
    /// Time between pieces of a streamed answer.
    pub between: Latency,
    /// Time to the end of a streamed answer.
    pub model: Latency,
    /// Time to the end of a plain call's answer.
    pub plain: Latency,
}

impl Report {
    /// Calls that ended in `outcome`.
    pub fn outcome(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }

    /// Answers that were wrong, or that ended without a stated outcome.
    pub fn faulty(&self) -> u64 {
        self.outcome("wrong") + self.outcome("cut")
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate = self.sent as f64 / self.seconds.max(f64::MIN_POSITIVE);
        writeln!(f, "requests   {} in {:.1} s, {rate:.0} a second", self.sent, self.seconds)?;
        writeln!(f, "outcomes   {}", pairs(&self.outcomes))?;
        writeln!(f, "codes      {}", pairs(&self.codes))?;
        writeln!(f, "late       {}   skipped {}", self.late, self.skipped)?;
        let rows = [
            ("first byte", &self.first),
            ("between", &self.between),
            ("model", &self.model),
            ("plain", &self.plain),
        ];
        for (name, latency) in rows.iter().filter(|(_, l)| l.count > 0) {
            writeln!(f, "{name:10} {latency}")?;
        }
        self.faults.iter().try_for_each(|fault| writeln!(f, "fault      {fault}"))
    }
}

fn pairs(counts: &IndexMap<String, u64>) -> String {
    let texts: Vec<String> = counts.iter().map(|(k, v)| format!("{k} {v}")).collect();
    texts.join("  ")
}
