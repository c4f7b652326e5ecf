//! A planned stop: refuse new work, let the rest end, move what takes too long.

use super::codes;
use super::events;
use super::intent::Reason;
use super::settings::DrainSettings;
use crate::base::code::Code;
use std::time::Duration;

/// The kind of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// A call with one reply, which ends by its deadline.
    Call,
    /// A stream, which another replica can go on with.
    Stream,
}

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// New work is taken.
    Serving,
    /// New work is refused, and some is still in progress.
    Leaving,
    /// New work is refused and none is in progress.
    Drained,
}

/// What is to be done about the work in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing until work ends or this reading of the clock has come.
    Wait(Option<Duration>),
    /// Hand the streams in progress to other replicas now.
    MoveStreams,
    /// All work has ended; a stopping process may exit.
    Drained,
    /// The time for leaving is over with work still in progress.
    Overdue,
}

#[derive(Clone, Copy, Debug)]
struct Leaving {
    reason: Reason,
    since: Duration,
    moved: bool,
    /// The end has been logged.
    told: bool,
}

/// The work in progress of one process, and its planned stop.
#[derive(Debug)]
pub struct Drain {
    settings: DrainSettings,
    leaving: Option<Leaving>,
    calls: u32,
    streams: u32,
}

impl Drain {
    /// A process that serves.
    pub fn new(settings: DrainSettings) -> Self {
        Self { settings, leaving: None, calls: 0, streams: 0 }
    }

    /// Counts a piece of new work, or refuses it.
    ///
    /// # Errors
    /// The code of the reason for leaving; the work has not begun.
    pub fn begin(&mut self, work: Work) -> Result<(), Code> {
        if let Some(leaving) = self.leaving {
            return Err(leaving.reason.code());
        }
        *self.count(work) += 1;
        Ok(())
    }

    /// Counts a piece of work as of another kind, whether or not new work is taken.
    pub fn reclassify(&mut self, from: Work, to: Work) {
        self.end(from);
        *self.count(to) += 1;
    }

    /// Counts the end of a piece of work.
    pub fn end(&mut self, work: Work) {
        let count = self.count(work);
        assert!(*count > 0, "{}: {work:?}", codes::INVARIANT_COUNT);
        *count -= 1;
    }

    /// Takes note of why new work is to be refused, if at all. A process that was asked to stop
    /// never serves again.
    pub fn set_reason(&mut self, reason: Option<Reason>, now: Duration) {
        match (self.leaving, reason) {
            (None, Some(reason)) => self.leave(reason, now),
            (Some(l), _) if l.reason == Reason::Stopping => {}
            (Some(l), Some(reason)) if l.reason != reason => self.rename(l, reason, now),
            (Some(_), None) => {
                self.leaving = None;
                tracing::info!(event = events::RETURNED, "taking new work again");
            }
            _ => {}
        }
    }

    /// Decides about the work in progress.
    pub fn step(&mut self, now: Duration) -> Step {
        let idle = self.calls + self.streams == 0;
        let (calls, streams) = (self.calls, self.streams);
        let Some(leaving) = self.leaving.as_mut() else {
            return Step::Wait(None);
        };
        if idle {
            if !leaving.told {
                leaving.told = true;
                let seconds = now.saturating_sub(leaving.since).as_secs_f64();
                tracing::info!(event = events::DRAINED, seconds, "drained");
            }
            return Step::Drained;
        }
        let move_at = leaving.since + self.settings.move_after;
        if streams > 0 && !leaving.moved && move_at <= now {
            leaving.moved = true;
            tracing::info!(event = events::MOVING, streams, "moving streams");
            return Step::MoveStreams;
        }
        let limit = leaving.since + self.settings.stop_limit;
        if limit <= now {
            if !leaving.told {
                leaving.told = true;
                tracing::warn!(event = events::OVERDUE, calls, streams, "work outlasts leaving");
            }
            return Step::Overdue;
        }
        let moving = (!leaving.moved && streams > 0).then_some(move_at);
        Step::Wait(Some(moving.map_or(limit, |m| m.min(limit))))
    }

    /// Where the process stands.
    pub fn phase(&self) -> Phase {
        match (&self.leaving, self.calls + self.streams) {
            (None, _) => Phase::Serving,
            (Some(_), 0) => Phase::Drained,
            (Some(_), _) => Phase::Leaving,
        }
    }

    /// Why new work is refused.
    pub fn reason(&self) -> Option<Reason> {
        self.leaving.map(|l| l.reason)
    }

    /// Calls and streams in progress.
    pub fn in_progress(&self, work: Work) -> u32 {
        match work {
            Work::Call => self.calls,
            Work::Stream => self.streams,
        }
    }

    fn leave(&mut self, reason: Reason, now: Duration) {
        self.leaving = Some(Leaving { reason, since: now, moved: false, told: false });
        let (calls, streams) = (self.calls, self.streams);
        tracing::info!(event = events::LEAVING, ?reason, calls, streams, "taking no new work");
    }

    /// A signal to stop starts its own time limit; other changes keep the time of leaving.
    fn rename(&mut self, leaving: Leaving, reason: Reason, now: Duration) {
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
