//! Limits an agent to its share of the rate of its zone's weight store. The share follows from the
//! live membership alone.

use super::constants::{BURST_WINDOW, MEMBER_COUNT_WINDOW, REQUEST_RESERVE};
use super::events;
use std::collections::VecDeque;
use std::time::Duration;

/// What weights are loaded for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPurpose {
    /// A request waits for the weights.
    Request,
    /// The weights are loaded ahead of requests.
    Prefetch,
}

#[derive(Clone, Copy, Debug)]
struct MemberCount {
    at: Duration,
    members: u32,
}

/// A token bucket whose rate is the zone's rate divided by the members that may load weights.
///
/// The divisor is the highest number of live members within [`MEMBER_COUNT_WINDOW`], and at least
/// half of those that the document names. A member that joins reduces the shares at once, one that
/// leaves or is cut off raises them late, so the sum of shares seldom exceeds the zone's rate.
#[derive(Clone, Debug)]
pub struct RateShare {
    zone_rate: f64,
    expected_members: u32,
    member_counts: VecDeque<MemberCount>,
    tokens: f64,
    refilled_at: Duration,
    /// Bytes that the last request asked for and did not get.
    pending_bytes: u64,
}

impl RateShare {
    /// A share of `zone_rate` bytes a second, in a zone for which the document names
    /// `expected_members`.
    pub fn new(now: Duration, zone_rate: f64, expected_members: u32) -> Self {
        Self {
            zone_rate,
            expected_members,
            member_counts: VecDeque::new(),
            tokens: 0.0,
            refilled_at: now,
            pending_bytes: 0,
        }
    }

    /// Takes the current number of live members of the zone.
    pub fn observe_members(&mut self, now: Duration, members: u32) {
        self.refill(now);
        let before = self.divisor();
        while self.member_counts.back().is_some_and(|s| s.members <= members) {
            self.member_counts.pop_back();
        }
        self.member_counts.push_back(MemberCount { at: now, members });
        self.expire(now);
        if self.divisor() != before {
            let (rate, members) = (self.rate(), self.divisor());
            tracing::info!(event = events::SHARE_CHANGED, rate, members, "share changed");
        }
    }

    /// This agent's rate in bytes a second.
    pub fn rate(&self) -> f64 {
        self.zone_rate / f64::from(self.divisor())
    }

    /// Grants up to `bytes` now and returns the number granted; the rest may be requested again
    /// later. Prefetches get nothing while a request waits, and leave a reserve for requests.
    pub fn acquire(&mut self, now: Duration, bytes: u64, purpose: LoadPurpose) -> u64 {
        self.refill(now);
        let available = match purpose {
            LoadPurpose::Request => self.tokens,
            LoadPurpose::Prefetch if self.pending_bytes > 0 => 0.0,
            LoadPurpose::Prefetch => self.tokens - self.burst_bytes() * REQUEST_RESERVE,
        };
        let granted = bytes.min(available.max(0.0) as u64);
        self.tokens -= granted as f64;
        if purpose == LoadPurpose::Request {
            self.pending_bytes = bytes - granted;
        }
        granted
    }

    fn burst_bytes(&self) -> f64 {
        self.rate() * BURST_WINDOW.as_secs_f64()
    }

    fn divisor(&self) -> u32 {
        let live =
            self.member_counts.iter().map(|s| s.members).max().unwrap_or(self.expected_members);
        live.max(self.expected_members.div_ceil(2)).max(1)
    }

    fn refill(&mut self, now: Duration) {
        self.expire(now);
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now.max(self.refilled_at);
        self.tokens = (self.tokens + elapsed * self.rate()).min(self.burst_bytes());
    }

    fn expire(&mut self, now: Duration) {
        while self.member_counts.len() > 1
            && now.saturating_sub(self.member_counts[0].at) > MEMBER_COUNT_WINDOW
        {
            self.member_counts.pop_front();
        }
    }
}
