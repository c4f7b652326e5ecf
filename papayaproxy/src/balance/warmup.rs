//! Limit of the requests to upstreams that are cold, for all entries together.
//!
//! Entries share the limit without messages. With n entries and a bound of B requests a second, each
//! sends at most floor(B / n) in any second; with more entries than B, one a second each is sent by
//! the B entries that a rendezvous hash over entries and upstream ranks first.

use super::constants::{
    COLD_LOG_MIN, ENTRY_HOLD, FOUND_AT_START_TIME, RECORD_DELAY_MAX, SEND_LATENESS, SEND_SPAN,
};
use super::desk::Balancer;
use super::events;
use super::upstream::Upstream;
use crate::base::name::Name;
use crate::catalog::{Revision, WarmUp};
use crate::peers::EntryIds;
use std::collections::VecDeque;
use std::time::Duration;

/// Limit of the requests to a cold upstream in one second, for all entries together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WarmUpRule {
    /// Multiple of the requests a second that the service states for cold replicas; 0 for no limit.
    pub(crate) ratio: f64,
    /// Additional requests.
    pub(crate) slack: f64,
}

/// Limit of the requests to one cold upstream of a service, for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ColdLimit {
    /// Most requests in any second.
    most: usize,
    /// Requests a second on average.
    per_second: f64,
    /// Time for which an upstream is cold after its start.
    time: Duration,
}

impl ColdLimit {
    /// The limit by `rule` for a service with `warm_up`; `None` if there is none.
    pub(crate) fn new(rule: WarmUpRule, warm_up: Option<WarmUp>) -> Option<Self> {
        let warm_up = warm_up.filter(|w| rule.ratio > 0.0 && w.per_second > 0.0)?;
        let bound = (warm_up.per_second * rule.ratio + rule.slack).max(0.0);
        // A conversion from a float rounds down and saturates.
        let (most, per_second) = (bound as usize, warm_up.per_second.min(bound));
        Some(Self { most, per_second, time: warm_up.time })
    }

    /// The part of this entry for the upstream that `seed` identifies; `None` if it may send none.
    /// `entries` is `None` while the number of entries is unknown.
    fn share(&self, entries: Option<usize>, ids: &EntryIds, seed: u64) -> Option<Share> {
        let entries = entries.filter(|_| self.most > 0)?.max(1);
        if entries > self.most && !is_selected(ids, entries, self.most, seed) {
            return None;
        }
        let senders = entries.min(self.most) as f64;
        Some(Share {
            most: (self.most / entries).max(1),
            interval: Duration::try_from_secs_f64(senders / self.per_second)
                .unwrap_or(Duration::MAX / 4),
        })
    }
}

/// Whether this entry is among the `most` of all `entries` that the hash ranks first. Entries that
/// exist but were not heard count as ranked before it, so that unequal views select fewer entries, not
/// more.
fn is_selected(ids: &EntryIds, entries: usize, most: usize, seed: u64) -> bool {
    let rank = |id: u64| (hash(id, seed), id);
    let own = rank(ids.own);
    let before = ids.heard.iter().filter(|id| rank(**id) > own).count();
    let unheard = entries.saturating_sub(ids.heard.len() + 1);
    before + unheard < most
}

fn hash(id: u64, seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&id.to_le_bytes(), seed)
}

/// The part of this entry in the limit of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share {
    /// Most requests in any [`SEND_SPAN`]; at least 1.
    most: usize,
    /// Mean time between two requests.
    interval: Duration,
}

/// Why an upstream counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ColdReason {
    /// Its record states it.
    Record,
    /// Its record has appeared, which says nothing of it.
    Started,
    /// Its group runs passes again.
    GroupFormed,
    /// Its availability zone is in use again.
    Readmitted,
}

impl ColdReason {
    fn as_str(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Started => "started",
            Self::GroupFormed => "group formed",
            Self::Readmitted => "zone readmitted",
        }
    }
}

/// Whether an upstream is cold, and what this entry has sent to it.
#[derive(Clone, Debug, Default)]
pub(super) struct WarmUpState {
    /// `None` if nothing limits requests to it while it is cold.
    limit: Option<ColdLimit>,
    /// Part of this entry; `None` if it may send none.
    share: Option<Share>,
    /// Position of the first request within the first interval, from 0 to 1; differs between entries.
    phase: f64,
    /// Until when this entry sends nothing to a cold upstream, since it has just started.
    hold_until: Duration,
    /// Until when the upstream counts as cold.
    cold_until: Duration,
    /// From when on it has counted as cold without a pause.
    cold_from: Duration,
    /// When something other than its record last showed that it is cold.
    inferred_at: Option<Duration>,
    /// Store revision of the record that was read last.
    revision: Option<Revision>,
    /// Earliest time of the next request by the mean interval.
    next_send: Duration,
    /// Requests sent within the last [`SEND_SPAN`], the oldest first. Requests from before the
    /// upstream became cold count too.
    sent: VecDeque<Duration>,
}

impl WarmUpState {
    fn is_cold(&self, now: Duration) -> bool {
        self.limit.is_some() && now < self.cold_until
    }

    /// Earliest time of the next request; zero while nothing limits them.
    fn limited_until(&self, now: Duration) -> Duration {
        if !self.is_cold(now) {
            return Duration::ZERO;
        }
        let Some(share) = self.share else { return self.cold_until };
        let begin = self.cold_from.max(self.hold_until);
        let first = begin.saturating_add(share.interval.mul_f64(self.phase));
        let recent = self.sent.len().checked_sub(share.most);
        let span_end = recent.map_or(Duration::ZERO, |index| self.sent[index] + SEND_SPAN);
        self.next_send.max(first).max(span_end).min(self.cold_until)
    }

    fn record_send(&mut self, now: Duration) {
        let Some(limit) = self.limit else { return };
        while self.sent.front().is_some_and(|at| *at + SEND_SPAN <= now) {
            self.sent.pop_front();
        }
        // Shares are at most the whole limit, so that older ones make no difference.
        if self.sent.len() >= limit.most.max(1) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        let Some(share) = self.share.filter(|_| now < self.cold_until) else { return };
        // Waiting requests are looked at every few milliseconds only, which must not lower the rate.
        // More is not made up for: a warm-up is short, and all entries would do so in it.
        let begin = self.next_send.max(now.saturating_sub(SEND_LATENESS));
        self.next_send = begin.saturating_add(share.interval);
    }
}

impl Upstream {
    /// Counts it as cold for `time`, if that is longer than it does already.
    pub(super) fn mark_cold(&mut self, reason: ColdReason, time: Duration, now: Duration) {
        let state = &mut self.warm_up;
        if reason != ColdReason::Record {
            state.inferred_at = Some(now);
        }
        let until = now.saturating_add(time);
        let (was_cold, old) = (now < state.cold_until, state.cold_until);
        if !was_cold {
            state.cold_from = now;
        }
        state.cold_until = old.max(until);
        let Some(limit) = state.limit.filter(|_| until > old.max(now) + COLD_LOG_MIN) else {
            return;
        };
        tracing::info!(
            event = events::UPSTREAM_COLD,
            upstream = %self.id,
            reason = reason.as_str(),
            cold_ms = time.as_millis() as u64,
            limit = limit.most,
            share = state.share.map_or(0, |s| s.most),
            interval_ms = state.share.map(|s| s.interval.as_millis() as u64),
            "upstream is cold"
        );
    }

    /// Counts it as cold for the warm-up time of its service, if requests to it are limited then.
    pub(super) fn start_warm_up(&mut self, reason: ColdReason, now: Duration) {
        if let Some(limit) = self.warm_up.limit {
            self.mark_cold(reason, limit.time, now);
        }
    }

    /// Applies its record as of `revision`, which states that it is cold for `cold`.
    pub(super) fn observe_record(&mut self, cold: Duration, revision: Revision, now: Duration) {
        if self.warm_up.revision.is_some_and(|known| known >= revision) {
            return;
        }
        let known = self.warm_up.revision.replace(revision);
        // A store that has come back from a copy gives each record a later revision.
        if known.is_some_and(|known| known.era < revision.era) {
            return;
        }
        let until = now.saturating_add(cold);
        // A record that was written before the upstream became cold may be read after that.
        let inferred_at = self.warm_up.inferred_at;
        let is_later = inferred_at.is_none_or(|at| now >= at + RECORD_DELAY_MAX);
        if until < self.warm_up.cold_until && is_later {
            if self.is_cold(now) && cold.is_zero() {
                let (event, upstream) = (events::UPSTREAM_WARM, &self.id);
                let early_ms = self.warm_up.cold_until.saturating_sub(now).as_millis() as u64;
                tracing::info!(event, %upstream, early_ms, "upstream is warm by its record");
            }
            self.warm_up.cold_until = until;
        }
        if !cold.is_zero() {
            self.mark_cold(ColdReason::Record, cold, now);
        }
    }

    /// Whether it counts as cold and requests to it are limited.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        self.warm_up.is_cold(now)
    }

    /// From when on this entry may send to it while it is cold; zero while nothing limits requests.
    pub(super) fn cold_limited_until(&self, now: Duration) -> Duration {
        self.warm_up.limited_until(now)
    }

    /// Requests a second that this entry may send to it while it is cold; zero if it is not.
    fn cold_rate(&self, now: Duration) -> f64 {
        let share = self.warm_up.share.filter(|_| self.is_cold(now));
        share.map_or(0.0, |s| 1.0 / s.interval.as_secs_f64().max(0.001))
    }

    /// Counts a request that is sent to it.
    pub(super) fn count_cold_send(&mut self, now: Duration) {
        self.warm_up.record_send(now);
    }

    /// Sets the limit of its service, and the part of this entry among `entries`.
    pub(super) fn limit_cold(&mut self, limit: Option<ColdLimit>, fleet: &FleetView) {
        let seed = u64::from(self.digest) ^ self.started_ms.rotate_left(32);
        self.warm_up.limit = limit;
        self.warm_up.hold_until = fleet.hold_until;
        self.warm_up.phase = hash(fleet.ids.own, !seed) as f64 / u64::MAX as f64;
        self.warm_up.share = limit.and_then(|l| l.share(fleet.entries, &fleet.ids, seed));
    }
}

/// What this entry knows of the fleet, for its part in the limits of cold upstreams.
#[derive(Clone, Debug)]
pub(super) struct FleetView {
    rule: WarmUpRule,
    /// Start of this process.
    started: Duration,
    /// Until when nothing is sent to cold upstreams.
    hold_until: Duration,
    /// Most entries that were seen at a time; `None` while their number is unknown.
    entries: Option<usize>,
    ids: EntryIds,
    /// Whether upstreams have been found.
    has_found: bool,
}

impl FleetView {
    /// The view of a process that started at `started`.
    pub(super) fn new(rule: WarmUpRule, started: Duration) -> Self {
        let hold_until = started + ENTRY_HOLD;
        let ids = EntryIds::default();
        Self { rule, started, hold_until, entries: None, ids, has_found: false }
    }

    /// The limit for a service with `warm_up`.
    pub(super) fn limit(&self, warm_up: Option<WarmUp>) -> Option<ColdLimit> {
        ColdLimit::new(self.rule, warm_up)
    }

    /// Whether upstreams that are first found at `now` may have started long before.
    pub(super) fn is_starting(&self, now: Duration) -> bool {
        !self.has_found || now < self.started + FOUND_AT_START_TIME
    }

    /// Records that upstreams have been found.
    pub(super) fn record_found(&mut self) {
        self.has_found = true;
    }
}

impl Balancer {
    /// Updates the ids of the entries, by which those that send to a cold upstream are chosen. The
    /// number of entries is that of [`Balancer::share_budgets`].
    pub(crate) fn observe_entries(&mut self, ids: EntryIds) {
        if self.fleet.ids != ids {
            self.fleet.ids = ids;
            self.update_cold_limits();
        }
    }

    /// Updates the number of entries, which is known to be `entries` at least.
    pub(super) fn observe_fleet_size(&mut self, entries: Option<usize>) {
        if self.fleet.entries != entries {
            self.fleet.entries = entries;
            self.update_cold_limits();
        }
    }

    pub(super) fn update_cold_limits(&mut self) {
        for upstream in self.upstreams.values_mut() {
            let warm_up = self.services.get(&upstream.service).and_then(|s| s.warm_up);
            upstream.limit_cold(self.fleet.limit(warm_up), &self.fleet);
        }
    }

    /// Number of upstreams that are cold.
    pub(crate) fn cold_upstreams(&self, now: Duration) -> usize {
        self.upstreams.values().filter(|u| u.is_cold(now)).count()
    }

    /// Requests a second that this entry may send to the cold upstreams of a service.
    pub(super) fn cold_rate(&self, service: &Name, now: Duration) -> f64 {
        let upstreams = self.upstreams.values().filter(|u| u.service == *service);
        upstreams.map(|u| u.cold_rate(now)).sum()
    }
}
