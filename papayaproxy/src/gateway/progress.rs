//! Requests in progress, and which new ones a stopping entry can still finish. Without I/O or
//! clock.

use super::constants::{DURATION_MARGIN, DURATION_WINDOW, STOP_END_FRACTION};
use crate::base::name::Name;
use indexmap::IndexMap;
use std::time::Duration;

/// Longest request of one route that ended in the present and in the previous window.
#[derive(Clone, Copy, Debug, Default)]
struct Longest {
    window: u64,
    current: Duration,
    previous: Duration,
}

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

/// Why a stopping entry cannot finish a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shortfall {
    /// Duration expected of the request.
    pub(crate) expected: Duration,
    /// Time until the process exits.
    pub(crate) left: Duration,
}

/// The requests in progress, and how long requests of each route take.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    grace: Duration,
    stop_began: Option<Duration>,
    next_ticket: u64,
    in_progress: IndexMap<u64, Started>,
    longest: IndexMap<Name, Longest>,
}

impl Progress {
    /// No requests; a stop may take `grace`.
    pub(crate) fn new(grace: Duration) -> Self {
        Self {
            grace,
            stop_began: None,
            next_ticket: 0,
            in_progress: IndexMap::new(),
            longest: IndexMap::new(),
        }
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
    pub(crate) fn end(&mut self, ticket: u64, now: Duration) {
        let Some(started) = self.in_progress.swap_remove(&ticket) else { return };
        let duration = now.saturating_sub(started.at);
        let longest = self.longest.entry(started.route).or_default();
        longest.advance(now);
        longest.current = longest.current.max(duration);
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

    /// Whether a request of `route` that ends within `time_limit` can be expected to end before the
    /// process exits.
    ///
    /// # Errors
    /// It cannot.
    pub(crate) fn can_finish(
        &mut self,
        route: &Name,
        time_limit: Duration,
        now: Duration,
    ) -> Result<(), Shortfall> {
        let Some(left) = self.time_left(now) else { return Ok(()) };
        let longest = self.longest_duration(route, now);
        let expected = longest.map_or(time_limit, |d| d.mul_f64(DURATION_MARGIN));
        let expected = expected.min(time_limit);
        if expected <= left { Ok(()) } else { Err(Shortfall { expected, left }) }
    }

    /// Longest duration of the route's recent requests, those in progress included; `None` without
    /// any.
    fn longest_duration(&mut self, route: &Name, now: Duration) -> Option<Duration> {
        let running = self.in_progress.values().filter(|s| s.route == *route);
        let oldest = running.map(|s| now.saturating_sub(s.at)).max();
        let ended = self.longest.get_mut(route).map(|longest| {
            longest.advance(now);
            longest.current.max(longest.previous)
        });
        oldest.max(ended.filter(|d| !d.is_zero()))
    }
}

impl Longest {
    /// Moves on to the window of `now`.
    fn advance(&mut self, now: Duration) {
        let window = (now.as_millis() / DURATION_WINDOW.as_millis()) as u64;
        match window.saturating_sub(self.window) {
            0 => return,
            1 => self.previous = self.current,
            _ => self.previous = Duration::ZERO,
        }
        (self.window, self.current) = (window, Duration::ZERO);
    }
}
