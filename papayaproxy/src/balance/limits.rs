//! Limits of requests a second that upstreams name for all entries together.

use super::constants::HASH_FACTOR;
use super::constants::{RATE_INTERVAL_MAX, RATE_LIMIT_RATIO, SHARING_ENTRIES_MIN};
use super::desk::Balancer;
use crate::peers::constants::LOADS_MAX;
use crate::peers::message::LimitNews;
use std::time::Duration;

/// A limit of requests a second for all entries together, and this entry's part of it.
///
/// Entries share the limit evenly and without messages: each sends at even intervals, and the first
/// times are random, so that the entries do not send at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimit {
    pub(super) per_second: f64,
    /// Least time between two requests of this entry.
    pub(super) interval: Duration,
    /// From when on this entry may send the next one.
    pub(super) next_send: Duration,
}

impl RateLimit {
    /// `old` is the limit before, `draw` uniformly random.
    pub(crate) fn new(
        per_second: f64,
        entries: usize,
        old: Option<Self>,
        draw: u32,
        now: Duration,
    ) -> Self {
        let entries = entries.max(SHARING_ENTRIES_MIN) as f64;
        let seconds = entries / (per_second * RATE_LIMIT_RATIO).max(f64::MIN_POSITIVE);
        let longest = RATE_INTERVAL_MAX.as_secs_f64();
        let interval = Duration::from_secs_f64(seconds.min(longest));
        let first = now + interval.mul_f64(f64::from(draw) / f64::from(u32::MAX));
        let next_send = old.map_or(first, |old| old.next_send.min(now + interval));
        Self { per_second, interval, next_send }
    }
}

impl Balancer {
    /// Records the limit of requests a second that an answer of `upstream` names. `draw` is
    /// uniformly random.
    pub(crate) fn observe_limit(
        &mut self,
        upstream: &str,
        limit: Option<f64>,
        draw: u32,
        now: Duration,
    ) {
        let entries = self.entries;
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.observe_limit(limit, entries, draw, now);
        }
    }

    /// Applies the limits that peers were told.
    pub(crate) fn observe_peer_limits(&mut self, news: &[LimitNews], draw: u32, now: Duration) {
        let entries = self.entries;
        for news in news {
            let at = now.saturating_sub(Duration::from_millis(news.age_ms));
            // Limits that were told together must not open together.
            let draw = (draw ^ news.upstream).wrapping_mul(HASH_FACTOR);
            let known = self.upstreams.values_mut().filter(|u| u.digest == news.upstream);
            known.for_each(|u| u.observe_peer_limit(news.limit, at, entries, draw, now));
        }
    }

    /// Limits for the peers: those that have changed lately by answers to this entry.
    pub(crate) fn limit_news(&self, now: Duration) -> Vec<LimitNews> {
        let news = self.upstreams.values().filter_map(|u| {
            let (limit, at) = u.limit_news(now)?;
            let age_ms = now.saturating_sub(at).as_millis() as u64;
            Some(LimitNews { upstream: u.digest, limit, age_ms })
        });
        news.take(LOADS_MAX).collect()
    }
}
