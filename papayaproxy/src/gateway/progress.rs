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
struct Started {
    route: Name,
    at: Duration,
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

    /// Records a request of `route`; the ticket is due at [`Progress::end`].
    pub(crate) fn start(&mut self, route: &Name, now: Duration) -> u64 {
        self.next_ticket += 1;
        self.in_progress.insert(self.next_ticket, Started { route: route.clone(), at: now });
        self.next_ticket
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

    /// Time until the process exits, whatever is still in progress; `None` before the stop.
    pub(crate) fn time_left(&self, now: Duration) -> Option<Duration> {
        let end = self.stop_began? + self.grace.mul_f64(STOP_END_FRACTION);
        Some(end.saturating_sub(now))
    }

    /// Whether a request of `route` that ends within `time_limit` can be expected to end before the
    /// process exits.
    pub(crate) fn can_finish(&mut self, route: &Name, time_limit: Duration, now: Duration) -> bool {
        let Some(left) = self.time_left(now) else { return true };
        let longest = self.longest_duration(route, now);
        let expected = longest.map_or(time_limit, |d| d.mul_f64(DURATION_MARGIN));
        expected.min(time_limit) <= left
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
