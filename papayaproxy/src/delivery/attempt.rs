//! What an entry does after each attempt of a call that did not bring a whole reply.

use super::codes;
use super::constants::{ATTEMPT_TIME_MIN, ATTEMPTS_MAX, UNSENT_MAX};
use crate::base::code::{Code, Outcome, outcome};
use crate::drain::is_leaving;
use std::time::Duration;

/// What may be done with a call besides its first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It may run any number of times, on any upstream.
    Idempotent,
    /// It may run once and has no key: nothing may follow an attempt that may have run.
    NonIdempotent,
    /// It has an issued key: its home agent may be asked again, and no other.
    Keyed,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the call was written to any agent.
    Unsent(Code),
    /// The agent answered with this code.
    Refused(Code),
    /// Bytes were written and no answer came.
    Lost(Code),
}

/// Where the next attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryTarget {
    /// To another upstream.
    Elsewhere,
    /// To the same upstream.
    Same,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Make another attempt.
    Retry(RetryTarget),
    /// Answer the caller with this code, whose outcome stands in the table.
    Answer(Code),
}

/// The attempts made for one call.
#[derive(Clone, Debug)]
pub struct Attempts {
    kind: CallKind,
    deadline: Duration,
    made: u32,
    /// Attempts of which no byte was written, or that a leaving upstream refused.
    unsent: u32,
    /// Bytes of the attempt in progress have been written.
    writing: bool,
    /// An earlier attempt may have run.
    doubtful: bool,
}

impl Attempts {
    /// No attempt yet. `deadline` is a reading of the clock that `now` is read from.
    pub fn new(kind: CallKind, deadline: Duration) -> Self {
        // Another entry may have brought the key to its home before.
        let doubtful = kind == CallKind::Keyed;
        Self { kind, deadline, made: 0, unsent: 0, writing: false, doubtful }
    }

    /// Counts an attempt and gives the time that it may take. To be asked right before the first
    /// byte is written, so that a process that was paused sends nothing late.
    ///
    /// # Errors
    /// The code to answer with, once the deadline has passed.
    pub fn start(&mut self, now: Duration) -> Result<Duration, Code> {
        let left = self.deadline.saturating_sub(now);
        if left.is_zero() {
            return Err(self.deadline_code());
        }
        self.made += 1;
        Ok(left)
    }

    /// Decides what follows a failed attempt. `budget` is asked for a retry only if one is due.
    pub fn on_failure(
        &mut self,
        failure: Failure,
        now: Duration,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        let proven = match failure {
            Failure::Unsent(_) => true,
            Failure::Refused(code) => outcome(code) == Outcome::NotRun,
            Failure::Lost(_) => false,
        };
        self.writing = false;
        self.doubtful |= !proven;
        let place = match (self.kind, failure) {
            (CallKind::Keyed, Failure::Refused(code)) => return NextStep::Answer(code),
            (CallKind::NonIdempotent, _) if !proven => {
                return NextStep::Answer(self.answer(failure));
            }
            (CallKind::Keyed, _) => RetryTarget::Same,
            _ => RetryTarget::Elsewhere,
        };
        if self.deadline.saturating_sub(now) < ATTEMPT_TIME_MIN {
            return NextStep::Answer(self.deadline_code());
        }
        let free = match failure {
            Failure::Unsent(_) => true,
            Failure::Refused(code) => is_leaving(code),
            Failure::Lost(_) => false,
        };
        if free {
            // No upstream did any work, so that a retry adds no load and needs no budget.
            self.made -= 1;
            self.unsent += 1;
        } else if self.made < ATTEMPTS_MAX && !budget() {
            return NextStep::Answer(self.spent(failure));
        }
        if self.made >= ATTEMPTS_MAX || self.unsent >= UNSENT_MAX {
            return NextStep::Answer(self.answer(failure));
        }
        NextStep::Retry(place)
    }

    /// What to tell where no further attempt can be made because of `code`.
    pub fn final_code(&self, code: Code) -> Code {
        let softened = self.doubtful && outcome(code) == Outcome::NotRun;
        match self.kind {
            _ if !softened => code,
            CallKind::Keyed => codes::KEY_HOME_UNREACHABLE,
            CallKind::Idempotent | CallKind::NonIdempotent => codes::OUTCOME_LOST,
        }
    }

    /// Whether a further attempt would be allowed after one that may have run.
    pub fn may_retry(&self, now: Duration) -> bool {
        let left = self.deadline.saturating_sub(now);
        self.kind == CallKind::Idempotent && self.made < ATTEMPTS_MAX && left >= ATTEMPT_TIME_MIN
    }

    /// The code for a call whose deadline passes now.
    pub fn deadline_code(&self) -> Code {
        let doubt = self.doubtful || self.writing;
        if doubt { codes::DEADLINE_AFTER_SEND } else { codes::DEADLINE_BEFORE_SEND }
    }

    /// Marks that bytes of the attempt are being written, so that it may run from now on.
    pub fn mark_written(&mut self) {
        self.writing = true;
    }

    fn spent(&self, failure: Failure) -> Code {
        if self.doubtful { self.answer(failure) } else { codes::BUDGET_SPENT }
    }

    fn answer(&self, failure: Failure) -> Code {
        let code = match failure {
            Failure::Unsent(code) | Failure::Refused(code) | Failure::Lost(code) => code,
        };
        let fits = self.doubtful == (outcome(code) == Outcome::Unknown);
        match (fits, self.doubtful, self.kind) {
            (true, ..) => code,
            (_, true, CallKind::Keyed) => codes::KEY_HOME_UNREACHABLE,
            (_, true, _) => codes::OUTCOME_LOST,
            (_, false, _) => codes::ATTEMPTS_SPENT,
        }
    }
}
