//! What follows when a stream breaks off before its end.

use super::codes;
use super::constants::{CONTINUATIONS_MAX, RESUME_TIME_MIN, RESUMES_IN_ROW_MAX};
use super::events;
use super::progress::Progress;
use crate::base::code::Code;
use crate::base::name::Name;
use crate::membership::LoadedModel;
use std::time::Duration;

/// The model that an answer comes from. Another version or adapter would give another answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelRef {
    /// The model's name.
    pub model: Name,
    /// Its version.
    pub version: u32,
    /// The adapter, if the request names one.
    pub adapter: Option<Name>,
}

/// A replica that could go on with the answer.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The upstream's name.
    pub upstream: Name,
    /// Whether it takes new work.
    pub is_open: bool,
    /// What it has loaded.
    pub loaded: Vec<LoadedModel>,
}

/// Why the stream broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakCause {
    /// A connection was lost; the engine may still work on the stream.
    Lost,
    /// The engine no longer has the stream, or is gone.
    Gone,
    /// The upstream is leaving and hands the stream over.
    Moved,
}

/// What is to be done with the broken stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryPlan {
    /// Ask the same engine for the stream from piece `from`.
    Resume {
        /// Number of the first missing piece.
        from: u64,
    },
    /// Let another replica go on after `from` pieces.
    Continue {
        /// The replica's upstream.
        upstream: Name,
        /// Number of the first missing piece.
        from: u64,
    },
    /// End the answer with an error.
    Fail(Code),
}

/// The breaks of one stream and what followed.
#[derive(Clone, Debug)]
pub struct Recovery {
    model: ModelRef,
    idempotent: bool,
    upstream: Name,
    resumed: u32,
    resumed_at: u64,
    continued: u32,
}

impl ModelRef {
    /// Whether `loaded` holds this very model, version and adapter.
    pub fn matches(&self, loaded: &[LoadedModel]) -> bool {
        let same = |l: &&LoadedModel| l.model == self.model && l.version == self.version;
        let adapter =
            |l: &LoadedModel| self.adapter.as_ref().is_none_or(|a| l.adapters.contains(a));
        loaded.iter().filter(same).any(adapter)
    }
}

impl Recovery {
    /// A stream that starts at `upstream`. `idempotent` tells whether its service allows to go on
    /// elsewhere.
    pub fn new(model: ModelRef, idempotent: bool, upstream: Name) -> Self {
        Self { model, idempotent, upstream, resumed: 0, resumed_at: 0, continued: 0 }
    }

    /// The upstream that works on the stream.
    pub fn upstream(&self) -> &Name {
        &self.upstream
    }

    /// Decides what follows a break. `replicas` gives others in the order of preference, and is
    /// asked only if the stream cannot go on where it is; `left` is the time until the deadline.
    pub fn plan(
        &mut self,
        cause: BreakCause,
        progress: &Progress,
        left: Duration,
        replicas: impl FnOnce() -> Vec<Replica>,
    ) -> RecoveryPlan {
        let before = self.upstream.clone();
        let plan = self.decide(cause, progress, left, replicas);
        let from = progress.pieces();
        match &plan {
            RecoveryPlan::Resume { .. } => {
                tracing::info!(event = events::STREAM_RESUMED, upstream = %before, from, "resume");
            }
            RecoveryPlan::Continue { upstream, .. } => {
                tracing::info!(event = events::STREAM_CONTINUED, %upstream, from, ?cause, "continue");
            }
            RecoveryPlan::Fail(code) => {
                tracing::warn!(event = events::STREAM_FAILED, upstream = %before, from, %code, "fail");
            }
        }
        plan
    }

    fn decide(
        &mut self,
        cause: BreakCause,
        progress: &Progress,
        left: Duration,
        replicas: impl FnOnce() -> Vec<Replica>,
    ) -> RecoveryPlan {
        if left < RESUME_TIME_MIN {
            return RecoveryPlan::Fail(codes::TIME_SPENT);
        }
        let from = progress.pieces();
        if cause == BreakCause::Lost && self.may_resume(from) {
            return RecoveryPlan::Resume { from };
        }
        if !self.idempotent {
            return RecoveryPlan::Fail(codes::CONTINUATION_BARRED);
        }
        if let Err(code) = progress.prior() {
            return RecoveryPlan::Fail(code);
        }
        if self.continued >= CONTINUATIONS_MAX {
            return RecoveryPlan::Fail(codes::RESUMES_SPENT);
        }
        let fits =
            |r: &Replica| r.is_open && r.upstream != self.upstream && self.model.matches(&r.loaded);
        match replicas().into_iter().find(fits) {
            Some(replica) => self.go_on(replica.upstream, from),
            None => RecoveryPlan::Fail(codes::REPLICA_MISSING),
        }
    }

    /// Counts a resumption; one that brings no new piece may be repeated only a few times.
    fn may_resume(&mut self, from: u64) -> bool {
        if from > self.resumed_at {
            self.resumed = 0;
        }
        self.resumed_at = from;
        self.resumed += 1;
        self.resumed <= RESUMES_IN_ROW_MAX
    }

    fn go_on(&mut self, upstream: Name, from: u64) -> RecoveryPlan {
        self.continued += 1;
        self.resumed = 0;
        self.resumed_at = from;
        self.upstream = upstream.clone();
        RecoveryPlan::Continue { upstream, from }
    }
}
