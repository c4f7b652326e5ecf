//! Requests in progress, and which new ones a stopping entry finishes for certain. Without I/O or
//! clock.

use super::constants::{STOP_END_FRACTION, STOP_RESERVE, STOP_STRICT_AFTER};
use crate::base::name::Name;
use indexmap::IndexMap;
use std::time::Duration;

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct Started {
    pub(crate) id: Name,
    pub(crate) route: Name,
    /// When it was accepted, on the process clock.
    pub(crate) at: Duration,
    /// Where its last attempt was sent; `None` before the first.
    pub(crate) upstream: Option<Name>,
}

/// Why a stopping entry may not finish a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shortfall {
    /// Longest time that the request may take.
    pub(crate) longest: Duration,
    /// Time until the process exits.
    pub(crate) left: Duration,
}

/// The requests in progress, and the end of a stop.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    grace: Duration,
    stop_began: Option<Duration>,
    next_ticket: u64,
    in_progress: IndexMap<u64, Started>,
}

impl Progress {
    /// No requests; a stop may take `grace`.
    pub(crate) fn new(grace: Duration) -> Self {
        Self { grace, stop_began: None, next_ticket: 0, in_progress: IndexMap::new() }
    }

    /// Number of requests in progress.
    pub(crate) fn count(&self) -> usize {
        self.in_progress.len()
    }

    /// Requests in progress.
    pub(crate) fn unfinished(&self) -> impl Iterator<Item = &Started> {
        self.in_progress.values()
    }

    /// Records request `id` of `route`; the ticket is due at [`Progress::end`].
    pub(crate) fn start(&mut self, id: &Name, route: &Name, now: Duration) -> u64 {
        self.next_ticket += 1;
        let started = Started { id: id.clone(), route: route.clone(), at: now, upstream: None };
        self.in_progress.insert(self.next_ticket, started);
        self.next_ticket
    }

    /// Records that a request is sent to `upstream`.
    pub(crate) fn record_send(&mut self, ticket: u64, upstream: &Name) {
        if let Some(started) = self.in_progress.get_mut(&ticket) {
            started.upstream = Some(upstream.clone());
        }
    }

    /// Records the end of a request.
    pub(crate) fn end(&mut self, ticket: u64) {
        self.in_progress.swap_remove(&ticket);
    }

    /// Begins the stop.
    pub(crate) fn begin_stop(&mut self, now: Duration) {
        self.stop_began.get_or_insert(now);
    }

    /// Whether the stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_began.is_some()
    }

    /// Time since the stop began; zero before it.
    pub(crate) fn stopping_for(&self, now: Duration) -> Duration {
        self.stop_began.map(|began| now.saturating_sub(began)).unwrap_or_default()
    }

    /// Time until the process exits, whatever is still in progress; `None` before the stop.
    pub(crate) fn time_left(&self, now: Duration) -> Option<Duration> {
        let end = self.stop_began? + self.grace.mul_f64(STOP_END_FRACTION);
        Some(end.saturating_sub(now))
    }

    /// Longest time of a request that ends within `time_limit`, and whose answer is expected to take
    /// `answer` at most by the engine's figures, if there are any. From [`STOP_STRICT_AFTER`] on only
    /// the time limit counts: a replica may be slower than its figures.
    pub(crate) fn longest_time(
        &self,
        time_limit: Duration,
        answer: Option<Duration>,
        now: Duration,
    ) -> Duration {
        let is_strict = self.stopping_for(now) >= STOP_STRICT_AFTER;
        answer.filter(|_| !is_strict).map_or(time_limit, |a| a.min(time_limit))
    }

    /// Whether a request that takes `longest` at most ends before the process exits.
    ///
    /// # Errors
    /// It may not.
    pub(crate) fn can_finish(&self, longest: Duration, now: Duration) -> Result<(), Shortfall> {
        match self.time_left(now) {
            Some(left) if longest + STOP_RESERVE > left => Err(Shortfall { longest, left }),
            _ => Ok(()),
        }
    }
}
