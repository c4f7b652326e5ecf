//! The state machine of draining: refuses new work, waits for work in progress, and moves streams
//! that take too long.

use super::codes;
use super::events;
use super::intent::Reason;
use super::settings::DrainSettings;
use crate::base::code::Code;
use std::time::Duration;

/// The kind of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// A call with a single reply; ends by its deadline.
    Call,
    /// A stream, which can continue on another replica.
    Stream,
}

/// The drain phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// New work is accepted.
    Serving,
    /// New work is refused and some work is still in progress.
    Leaving,
    /// New work is refused and no work is in progress.
    Drained,
}

/// The next action for the work in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait until work ends or the clock reaches this time; `None` while the process serves.
    Wait(Option<Duration>),
    /// Move the streams in progress to other replicas now.
    MoveStreams,
    /// All work has ended; a stopping process may exit.
    Drained,
    /// The stop limit has passed with work still in progress.
    Overdue,
}

#[derive(Clone, Copy, Debug)]
struct Leaving {
    reason: Reason,
    since: Duration,
    /// Whether [`Step::MoveStreams`] has been returned.
    has_moved: bool,
    /// Whether the end, drained or overdue, has been logged.
    is_logged: bool,
}

/// The work in progress of one process and its drain phase.
#[derive(Debug)]
pub struct Drain {
    settings: DrainSettings,
    leaving: Option<Leaving>,
    calls: u32,
    streams: u32,
}

impl Drain {
    /// Starts in [`Phase::Serving`] without work.
    pub fn new(settings: DrainSettings) -> Self {
        Self { settings, leaving: None, calls: 0, streams: 0 }
    }

    /// Counts new work as in progress.
    ///
    /// # Errors
    /// The process is leaving; returns the code of the reason and does not count the work.
    pub fn begin(&mut self, work: Work) -> Result<(), Code> {
        if let Some(leaving) = self.leaving {
            return Err(leaving.reason.code());
        }
        *self.count(work) += 1;
        Ok(())
    }

    /// Changes the kind of work in progress, also while new work is refused.
    pub fn reclassify(&mut self, from: Work, to: Work) {
        self.end(from);
        *self.count(to) += 1;
    }

    /// Counts work as ended.
    ///
    /// # Panics
    /// No work of this kind is in progress.
    pub fn end(&mut self, work: Work) {
        let count = self.count(work);
        assert!(*count > 0, "{}: {work:?}", codes::INVARIANT_COUNT);
        *count -= 1;
    }

    /// Sets why new work is refused; `None` accepts it again. [`Reason::Stopping`] is final: the
    /// process never serves again.
    pub fn set_reason(&mut self, reason: Option<Reason>, now: Duration) {
        match (self.leaving, reason) {
            (None, Some(reason)) => self.leave(reason, now),
            (Some(l), _) if l.reason == Reason::Stopping => {}
            (Some(l), Some(reason)) if l.reason != reason => self.change_reason(l, reason, now),
            (Some(_), None) => {
                self.leaving = None;
                tracing::info!(event = events::RETURNED, "accepting new work again");
            }
            _ => {}
        }
    }

    /// The next action at the time `now`.
    pub fn step(&mut self, now: Duration) -> Step {
        let is_idle = self.calls + self.streams == 0;
        let (calls, streams) = (self.calls, self.streams);
        let Some(leaving) = self.leaving.as_mut() else {
            return Step::Wait(None);
        };
        if is_idle {
            if !leaving.is_logged {
                leaving.is_logged = true;
                let seconds = now.saturating_sub(leaving.since).as_secs_f64();
                tracing::info!(event = events::DRAINED, seconds, "all work has ended");
            }
            return Step::Drained;
        }
        let move_at = leaving.since + self.settings.move_after;
        if streams > 0 && !leaving.has_moved && move_at <= now {
            leaving.has_moved = true;
            tracing::info!(event = events::MOVING, streams, "moving streams to other replicas");
            return Step::MoveStreams;
        }
        let limit = leaving.since + self.settings.stop_limit;
        if limit <= now {
            if !leaving.is_logged {
                leaving.is_logged = true;
                tracing::warn!(
                    event = events::OVERDUE,
                    calls,
                    streams,
                    "work is still in progress at the stop limit"
                );
            }
            return Step::Overdue;
        }
        let next_move = (!leaving.has_moved && streams > 0).then_some(move_at);
        Step::Wait(Some(next_move.map_or(limit, |m| m.min(limit))))
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        match (&self.leaving, self.calls + self.streams) {
            (None, _) => Phase::Serving,
            (Some(_), 0) => Phase::Drained,
            (Some(_), _) => Phase::Leaving,
        }
    }

    /// Why new work is refused; `None` while it is accepted.
    pub fn reason(&self) -> Option<Reason> {
        self.leaving.map(|l| l.reason)
    }

    /// Number of calls or streams in progress.
    pub fn in_progress(&self, work: Work) -> u32 {
        match work {
            Work::Call => self.calls,
            Work::Stream => self.streams,
        }
    }

    fn leave(&mut self, reason: Reason, now: Duration) {
        self.leaving = Some(Leaving { reason, since: now, has_moved: false, is_logged: false });
        let (calls, streams) = (self.calls, self.streams);
        tracing::info!(event = events::LEAVING, ?reason, calls, streams, "refusing new work");
    }

    /// A signal to stop restarts the time of leaving, from which the limits count; other reasons
    /// keep it.
    fn change_reason(&mut self, leaving: Leaving, reason: Reason, now: Duration) {
        if reason == Reason::Stopping {
            return self.leave(reason, now);
        }
        self.leaving = Some(Leaving { reason, ..leaving });
    }

    fn count(&mut self, work: Work) -> &mut u32 {
        match work {
            Work::Call => &mut self.calls,
            Work::Stream => &mut self.streams,
        }
    }
}
