//! Recovery of a stream that breaks off: resumed on its engine or continued on another replica.

use super::codes;
use super::constants::{CONTINUATIONS_MAX, RESUME_TIME_MIN, RESUMES_IN_ROW_MAX};
use super::events;
use super::progress::Progress;
use crate::base::code::Code;
use crate::base::name::Name;
use crate::membership::LoadedModel;
use std::time::Duration;

/// The model that generates an answer. Another version or adapter would generate another answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelRef {
    /// Model name.
    pub model: Name,
    /// Model version.
    pub version: u32,
    /// `None` if the request names no adapter.
    pub adapter: Option<Name>,
}

/// A candidate for continuing the answer.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Upstream that runs the replica.
    pub upstream: Name,
    /// Whether it accepts new work.
    pub is_open: bool,
    /// Models that it has loaded.
    pub loaded: Vec<LoadedModel>,
}

/// Why the stream broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakCause {
    /// The connection was lost; the engine may still be generating the stream.
    Lost,
    /// The engine no longer has the stream, or is unavailable.
    Gone,
    /// The upstream is leaving and no longer serves the stream.
    Moved,
}

/// What to do with a broken stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryPlan {
    /// Request the stream from the same engine again, from piece `from`.
    Resume {
        /// Number of the first missing piece.
        from: u64,
    },
    /// Have another replica continue after the first `from` pieces.
    Continue {
        /// Upstream of the replica.
        upstream: Name,
        /// Number of the first missing piece.
        from: u64,
    },
    /// End the answer with this error.
    Fail(Code),
}

/// Recovery state of one stream.
#[derive(Clone, Debug)]
pub struct Recovery {
    model: ModelRef,
    is_idempotent: bool,
    upstream: Name,
    /// Resumptions on the current engine since the last new piece.
    resume_count: u32,
    /// First missing piece at the last resumption or continuation.
    resumed_from: u64,
    continue_count: u32,
}

impl ModelRef {
    /// Whether `loaded` contains exactly this model, version and adapter.
    pub fn matches(&self, loaded: &[LoadedModel]) -> bool {
        let same_model = |l: &&LoadedModel| l.model == self.model && l.version == self.version;
        let has_adapter =
            |l: &LoadedModel| self.adapter.as_ref().is_none_or(|a| l.adapters.contains(a));
        loaded.iter().filter(same_model).any(has_adapter)
    }
}

impl Recovery {
    /// Creates the state of a stream that starts on `upstream`. `is_idempotent` states whether its
    /// service allows another replica to continue the stream.
    pub fn new(model: ModelRef, is_idempotent: bool, upstream: Name) -> Self {
        Self { model, is_idempotent, upstream, resume_count: 0, resumed_from: 0, continue_count: 0 }
    }

    /// Upstream that currently generates the stream.
    pub fn upstream(&self) -> &Name {
        &self.upstream
    }

    /// Decides how to recover from a break. `replicas` returns candidates in order of preference and
    /// is called only if the stream cannot be resumed; `remaining` is the time until the deadline.
    pub fn plan(
        &mut self,
        cause: BreakCause,
        progress: &Progress,
        remaining: Duration,
        replicas: impl FnOnce() -> Vec<Replica>,
    ) -> RecoveryPlan {
        let previous = self.upstream.clone();
        let plan = self.decide(cause, progress, remaining, replicas);
        let from = progress.pieces();
        match &plan {
            RecoveryPlan::Resume { .. } => {
                tracing::info!(event = events::STREAM_RESUMED, upstream = %previous, from, "stream resumed");
            }
            RecoveryPlan::Continue { upstream, .. } => {
                tracing::info!(event = events::STREAM_CONTINUED, %upstream, from, ?cause, "stream continued");
            }
            RecoveryPlan::Fail(code) => {
                tracing::warn!(event = events::STREAM_FAILED, upstream = %previous, from, %code, "stream failed");
            }
        }
        plan
    }

    fn decide(
        &mut self,
        cause: BreakCause,
        progress: &Progress,
        remaining: Duration,
        replicas: impl FnOnce() -> Vec<Replica>,
    ) -> RecoveryPlan {
        if remaining < RESUME_TIME_MIN {
            return RecoveryPlan::Fail(codes::TIME_SPENT);
        }
        let from = progress.pieces();
        if cause == BreakCause::Lost && self.try_resume(from) {
            return RecoveryPlan::Resume { from };
        }
        if !self.is_idempotent {
            return RecoveryPlan::Fail(codes::CONTINUATION_BARRED);
        }
        if let Err(code) = progress.prior() {
            return RecoveryPlan::Fail(code);
        }
        if self.continue_count >= CONTINUATIONS_MAX {
            return RecoveryPlan::Fail(codes::RESUMES_SPENT);
        }
        let can_continue =
            |r: &Replica| r.is_open && r.upstream != self.upstream && self.model.matches(&r.loaded);
        match replicas().into_iter().find(can_continue) {
            Some(replica) => self.continue_on(replica.upstream, from),
            None => RecoveryPlan::Fail(codes::REPLICA_MISSING),
        }
    }

    /// Counts a resumption and returns whether it is allowed: without a new piece in between, only
    /// [`RESUMES_IN_ROW_MAX`] are.
    fn try_resume(&mut self, from: u64) -> bool {
        if from > self.resumed_from {
            self.resume_count = 0;
        }
        self.resumed_from = from;
        self.resume_count += 1;
        self.resume_count <= RESUMES_IN_ROW_MAX
    }

    fn continue_on(&mut self, upstream: Name, from: u64) -> RecoveryPlan {
        self.continue_count += 1;
        self.resume_count = 0;
        self.resumed_from = from;
        self.upstream = upstream.clone();
        RecoveryPlan::Continue { upstream, from }
    }
}
