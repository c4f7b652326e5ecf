//! Retry policy of one call: which failures allow another attempt, and what the caller is answered.

use super::codes;
use super::constants::{ATTEMPT_TIME_MIN, ATTEMPTS_MAX, UNCOUNTED_MAX};
use crate::base::code::{Code, Outcome, outcome};
use crate::drain::is_leaving;
use std::time::Duration;

/// Which retries a call allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run any number of times, on any upstream.
    Idempotent,
    /// Must not run twice and has no key: not retried after an attempt that may have run.
    NonIdempotent,
    /// Has an issued key: retried only at the agent that issued it, which runs it at most once.
    Keyed,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the call was written to the agent.
    Unsent(Code),
    /// The agent answered with this code instead of a reply.
    Refused(Code),
    /// Bytes were written and no whole answer came, so the call may have run.
    Lost(Code),
}

/// Where a retry is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryTarget {
    /// Another upstream.
    Elsewhere,
    /// The same upstream.
    Same,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Make another attempt.
    Retry(RetryTarget),
    /// Answer the caller with this code, which determines the outcome.
    Answer(Code),
}

/// Attempts of one call so far, and what they allow next.
#[derive(Clone, Debug)]
pub struct Attempts {
    kind: CallKind,
    deadline: Duration,
    /// Attempts that count against [`ATTEMPTS_MAX`].
    counted: u32,
    /// Attempts of which no byte was written, or that a leaving upstream refused.
    uncounted: u32,
    /// Bytes of the attempt in progress have been written.
    is_written: bool,
    /// An earlier attempt may have run.
    may_have_run: bool,
}

impl Attempts {
    /// `deadline` is a reading of the clock that also gives `now` in the other methods.
    pub fn new(kind: CallKind, deadline: Duration) -> Self {
        // Another entry may already have sent a call with this key to its agent.
        let may_have_run = kind == CallKind::Keyed;
        Self { kind, deadline, counted: 0, uncounted: 0, is_written: false, may_have_run }
    }

    /// Counts an attempt and returns the time left until the deadline. Must be called right before
    /// the attempt is sent, so that a process that was paused sends nothing late.
    ///
    /// # Errors
    /// The code to answer with if the deadline has passed.
    pub fn start(&mut self, now: Duration) -> Result<Duration, Code> {
        let left = self.deadline.saturating_sub(now);
        if left.is_zero() {
            return Err(self.deadline_code());
        }
        self.counted += 1;
        Ok(left)
    }

    /// Decides what follows a failed attempt. `budget` takes a retry from the retry budget and is
    /// called only for a retry that needs one; false if the budget is spent.
    pub fn on_failure(
        &mut self,
        failure: Failure,
        now: Duration,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        let not_run = match failure {
            Failure::Unsent(_) => true,
            Failure::Refused(code) => outcome(code) == Outcome::NotRun,
            Failure::Lost(_) => false,
        };
        self.is_written = false;
        self.may_have_run |= !not_run;
        let target = match (self.kind, failure) {
            (CallKind::Keyed, Failure::Refused(code)) => return NextStep::Answer(code),
            (CallKind::NonIdempotent, _) if !not_run => {
                return NextStep::Answer(self.failure_code(failure));
            }
            (CallKind::Keyed, _) => RetryTarget::Same,
            _ => RetryTarget::Elsewhere,
        };
        if self.deadline.saturating_sub(now) < ATTEMPT_TIME_MIN {
            return NextStep::Answer(self.deadline_code());
        }
        let is_uncounted = match failure {
            Failure::Unsent(_) => true,
            Failure::Refused(code) => is_leaving(code),
            Failure::Lost(_) => false,
        };
        if is_uncounted {
            // No upstream did any work, so a retry adds no load and needs no budget.
            self.counted -= 1;
            self.uncounted += 1;
        } else if self.counted < ATTEMPTS_MAX && !budget() {
            return NextStep::Answer(self.budget_code(failure));
        }
        if self.counted >= ATTEMPTS_MAX || self.uncounted >= UNCOUNTED_MAX {
            return NextStep::Answer(self.failure_code(failure));
        }
        NextStep::Retry(target)
    }

    /// The code to answer with if `code` prevents a further attempt. Replaces a code that denies
    /// a run if an earlier attempt may have run.
    pub fn final_code(&self, code: Code) -> Code {
        let contradicts = self.may_have_run && outcome(code) == Outcome::NotRun;
        match self.kind {
            _ if !contradicts => code,
            CallKind::Keyed => codes::KEY_HOME_UNREACHABLE,
            CallKind::Idempotent | CallKind::NonIdempotent => codes::OUTCOME_LOST,
        }
    }

    /// Whether the call may be retried while an attempt that may have run is in progress.
    pub fn may_retry(&self, now: Duration) -> bool {
        let left = self.deadline.saturating_sub(now);
        self.kind == CallKind::Idempotent && self.counted < ATTEMPTS_MAX && left >= ATTEMPT_TIME_MIN
    }

    /// The code to answer with if the deadline passes now.
    pub fn deadline_code(&self) -> Code {
        let uncertain = self.may_have_run || self.is_written;
        if uncertain { codes::DEADLINE_AFTER_SEND } else { codes::DEADLINE_BEFORE_SEND }
    }

    /// Records that bytes of the attempt are being written, so that it may run from now on.
    pub fn mark_written(&mut self) {
        self.is_written = true;
    }

    /// The code to answer with if the retry budget is spent.
    fn budget_code(&self, failure: Failure) -> Code {
        if self.may_have_run { self.failure_code(failure) } else { codes::BUDGET_SPENT }
    }

    /// The code of `failure`, replaced if its outcome contradicts what earlier attempts may have
    /// done.
    fn failure_code(&self, failure: Failure) -> Code {
        let code = match failure {
            Failure::Unsent(code) | Failure::Refused(code) | Failure::Lost(code) => code,
        };
        let is_consistent = self.may_have_run == (outcome(code) == Outcome::Unknown);
        match (is_consistent, self.may_have_run, self.kind) {
            (true, ..) => code,
            (_, true, CallKind::Keyed) => codes::KEY_HOME_UNREACHABLE,
            (_, true, _) => codes::OUTCOME_LOST,
            (_, false, _) => codes::ATTEMPTS_SPENT,
        }
    }
}
