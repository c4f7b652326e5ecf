//! Collects samples while a run goes on.

use super::call::{CallKind, Sample, Verdict};
use super::report::{Latency, Report};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use std::time::Duration;

/// Longest time that a histogram tells apart, in microseconds.
const MICROS_MAX: u64 = 700_000_000;

/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// Faults that are kept word for word.
const FAULTS_KEPT: usize = 20;

/// Times in microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MICROS_MAX, DIGITS).expect("the bounds are valid")
}

/// Adds a time to a histogram.
pub(crate) fn note(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros().min(u128::from(MICROS_MAX)) as u64);
}

/// What a run has measured so far.
pub(crate) struct Record {
    pub(crate) sent: u64,
    pub(crate) skipped: u64,
    pub(crate) ended: u64,
    late: u64,
    verdicts: IndexMap<&'static str, u64>,
    codes: IndexMap<String, u64>,
    faults: Vec<String>,
    not_run: Vec<String>,
    first: Histogram<u64>,
    between: Histogram<u64>,
    model: Histogram<u64>,
    plain: Histogram<u64>,
}

impl Record {
    pub(crate) fn new() -> Self {
        Self {
            sent: 0,
            skipped: 0,
            ended: 0,
            late: 0,
            verdicts: IndexMap::new(),
            codes: IndexMap::new(),
            faults: Vec::new(),
            not_run: Vec::new(),
            first: histogram(),
            between: histogram(),
            model: histogram(),
            plain: histogram(),
        }
    }

    pub(crate) fn take(&mut self, sample: Sample, deadline: Duration) {
        self.ended += 1;
        self.late += u64::from(sample.total > deadline);
        *self.verdicts.entry(sample.verdict.as_str()).or_default() += 1;
        let code = sample.code.unwrap_or_else(|| "none".to_owned());
        *self.codes.entry(code).or_default() += 1;
        if let Some(fault) = sample.verdict.fault()
            && self.faults.len() < FAULTS_KEPT
        {
            self.faults.push(fault.to_owned());
        }
        if sample.verdict == Verdict::NotRun && sample.kind == CallKind::Plain {
            self.not_run.push(sample.reference.clone());
        }
        if sample.verdict != Verdict::Completed {
            return;
        }
        sample.gaps.iter().for_each(|gap| note(&mut self.between, *gap));
        match sample.kind {
            CallKind::Model => {
                sample.first.iter().for_each(|first| note(&mut self.first, *first));
                note(&mut self.model, sample.total);
            }
            CallKind::Plain => note(&mut self.plain, sample.total),
        }
    }

    pub(crate) fn verdict(&self, name: &str) -> u64 {
        self.verdicts.get(name).copied().unwrap_or(0)
    }

    pub(crate) fn report(&self, elapsed: Duration) -> Report {
        Report {
            seconds: elapsed.as_secs_f64(),
            sent: self.sent,
            skipped: self.skipped,
            late: self.late,
            outcomes: self.verdicts.iter().map(|(k, v)| ((*k).to_owned(), *v)).collect(),
            codes: self.codes.clone(),
            faults: self.faults.clone(),
            not_run: self.not_run.clone(),
            first: Latency::of(&self.first),
            between: Latency::of(&self.between),
            model: Latency::of(&self.model),
            plain: Latency::of(&self.plain),
        }
    }
}
