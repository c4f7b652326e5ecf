//! What was told, held against what ran.

use super::caller::Told;
use super::rig::Process;
use super::trial::Record;
use crate::load::Verdict;
use crate::plain::Runs;
use indexmap::IndexMap;
use serde::Serialize;

/// The step of a call at which a process dies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    BeforeSend,
    AfterSend,
    AfterStart,
    AfterReply,
    Stream,
    /// The process is paused for longer than every deadline instead.
    Paused,
}

impl Step {
    pub(crate) const ALL: [Self; 10] = [
        Self::BeforeSend,
        Self::AfterSend,
        Self::AfterStart,
        Self::AfterReply,
        Self::Stream,
        Self::AfterSend,
        Self::AfterStart,
        Self::AfterReply,
        Self::Stream,
        Self::Paused,
    ];
}

/// Counts over all trials.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Report {
    /// Trials by step and killed role.
    pub(crate) kills: IndexMap<String, u64>,
    /// Answers by outcome.
    pub(crate) told: IndexMap<String, u64>,
    /// Calls that ran so many times.
    pub(crate) runs: IndexMap<u64, u64>,
    /// Streamed answers by verdict.
    pub(crate) streams: IndexMap<String, u64>,
    /// Answers that were not true, each described.
    pub(crate) violations: Vec<String>,
}

impl Report {
    /// Holds what was told of a call against how often it ran.
    pub(crate) fn judge(&mut self, record: &Record, runs: Runs) {
        *self.kills.entry(label(record.step, record.process)).or_default() += 1;
        *self.runs.entry(runs.started).or_default() += 1;
        for told in &record.told {
            *self.told.entry(name(told)).or_default() += 1;
        }
        if let Some(fault) = fault(record, runs) {
            let Record { number, step, process, told, .. } = record;
            let line = format!("{number} {step:?} {process:?}: {fault}; {runs:?}; told {told:?}");
            self.violations.push(line);
        }
    }

    /// Notes a streamed answer: whole, or ended by a stated outcome, or cut by its own entry.
    pub(crate) fn stream(&mut self, number: u64, process: Process, verdict: &Verdict) {
        *self.kills.entry(label(Step::Stream, process)).or_default() += 1;
        let name = format!("{}, {} killed", verdict.as_str(), role(process));
        *self.streams.entry(name).or_default() += 1;
        let excused = matches!((verdict, process), (Verdict::Cut(_), Process::Entry(_)));
        if let Some(fault) = verdict.fault().filter(|_| !excused) {
            self.violations.push(format!("{number} stream {process:?}: {fault}"));
        }
    }

    /// Adds the counts of another run.
    pub(crate) fn add(&mut self, other: Self) {
        merge(&mut self.kills, other.kills);
        merge(&mut self.told, other.told);
        merge(&mut self.runs, other.runs);
        merge(&mut self.streams, other.streams);
        self.violations.extend(other.violations);
    }
}

fn merge<K: std::hash::Hash + Eq>(into: &mut IndexMap<K, u64>, from: IndexMap<K, u64>) {
    for (key, count) in from {
        *into.entry(key).or_default() += count;
    }
}

fn fault(record: &Record, runs: Runs) -> Option<&'static str> {
    let any = |f: fn(&Told) -> bool| record.told.iter().any(f);
    let completed = any(|t| matches!(t, Told::Completed(_)));
    let foreign = |t: &Told| matches!(t, Told::Completed(body) if *body != record.body);
    if runs.started > 1 {
        return Some("ran more than once");
    }
    if any(|t| matches!(t, Told::NotRun(_))) && runs.started > 0 {
        return Some("not-run was told, but it ran");
    }
    if completed && runs.finished != 1 {
        return Some("completed was told, but it did not run to its end");
    }
    if record.told.iter().any(foreign) {
        return Some("the reply is another call's");
    }
    if any(|t| matches!(t, Told::Late)) && record.process != Process::Entry(0) {
        return Some("no answer within the deadline");
    }
    any(|t| matches!(t, Told::Unstated)).then_some("an answer without an outcome")
}

fn label(step: Step, process: Process) -> String {
    format!("{step:?}, {}", role(process))
}

fn role(process: Process) -> &'static str {
    match process {
        Process::Entry(_) => "entry",
        Process::Agent(_) => "agent",
    }
}

fn name(told: &Told) -> String {
    match told {
        Told::Completed(_) => "completed".to_owned(),
        Told::NotRun(code) => format!("not-run {code}"),
        Told::Unknown(code) => format!("unknown {code}"),
        Told::Cut => "connection broke".to_owned(),
        Told::Late => "late".to_owned(),
        Told::Unstated => "no outcome".to_owned(),
    }
}
