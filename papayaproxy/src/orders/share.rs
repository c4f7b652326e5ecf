//! Each agent's share of its zone's weight store, from the live membership alone.

use super::constants::{BURST_TIME, MEMBERS_MEMORY, REQUEST_RESERVE};
use super::events;
use std::collections::VecDeque;
use std::time::Duration;

/// What a load is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request waits for it.
    Request,
    /// It is loaded ahead.
    Prefetch,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Duration,
    members: u32,
}

/// A token bucket whose rate is the zone's, divided by the members that may load.
///
/// The divisor is the highest number of members seen within a minute, and at least half of those
/// that the document names: a member that joins shrinks the shares at once, one that leaves or is
/// cut off enlarges them late, so the sum of shares seldom exceeds the zone's rate.
#[derive(Clone, Debug)]
pub struct Share {
    total: f64,
    expected: u32,
    seen: VecDeque<Seen>,
    tokens: f64,
    filled: Duration,
    waiting: u64,
}

impl Share {
    /// A share of `total` bytes a second, in a zone where the document names `expected` members.
    pub fn new(now: Duration, total: f64, expected: u32) -> Self {
        Self { total, expected, seen: VecDeque::new(), tokens: 0.0, filled: now, waiting: 0 }
    }

    /// Takes the number of members of the zone that are alive now.
    pub fn members(&mut self, now: Duration, members: u32) {
        self.fill(now);
        let before = self.divisor();
        while self.seen.back().is_some_and(|s| s.members <= members) {
            self.seen.pop_back();
        }
        self.seen.push_back(Seen { at: now, members });
        self.expire(now);
        if self.divisor() != before {
            let (rate, members) = (self.rate(), self.divisor());
            tracing::info!(event = events::SHARE_CHANGED, rate, members, "share changed");
        }
    }

    /// Bytes a second of this agent.
    pub fn rate(&self) -> f64 {
        self.total / f64::from(self.divisor())
    }

    /// Grants up to `bytes` now; what is not granted may be asked for again later. Prefetches get
    /// nothing while a request waits, and leave a reserve to requests.
    pub fn draw(&mut self, now: Duration, bytes: u64, purpose: Purpose) -> u64 {
        self.fill(now);
        let free = match purpose {
            Purpose::Request => self.tokens,
            Purpose::Prefetch if self.waiting > 0 => 0.0,
            Purpose::Prefetch => self.tokens - self.burst() * REQUEST_RESERVE,
        };
        let granted = bytes.min(free.max(0.0) as u64);
        self.tokens -= granted as f64;
        if purpose == Purpose::Request {
            self.waiting = bytes - granted;
        }
        granted
    }

    fn burst(&self) -> f64 {
        self.rate() * BURST_TIME.as_secs_f64()
    }

    fn divisor(&self) -> u32 {
        let live = self.seen.iter().map(|s| s.members).max().unwrap_or(self.expected);
        live.max(self.expected.div_ceil(2)).max(1)
    }

    fn fill(&mut self, now: Duration) {
        self.expire(now);
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now.max(self.filled);
        self.tokens = (self.tokens + elapsed * self.rate()).min(self.burst());
    }

    fn expire(&mut self, now: Duration) {
        while self.seen.len() > 1 && now.saturating_sub(self.seen[0].at) > MEMBERS_MEMORY {
            self.seen.pop_front();
        }
    }
}
