//! Times at which refused clients are told to return: capacity promised per quarter of a second by
//! this entry and its peers, and how long the groups of a service are usually down.

use super::constants::{
    BOOKED_TOLERANCE, BOOKED_UNIT, FREED_RATE_DECAY, ON_TIME_TOLERANCE, OUTAGE_WEIGHT,
    PROMISE_PEERS_MAX, PROMISE_QUARTER, PROMISE_RATIO, PROMISES_MAX, REFILL_TIME, RETRY_AFTER_MAX,
};
use super::rate::DecayedRate;
use crate::base::name::Name;
use crate::peers::message::{PromiseNews, PromisedCount};
use indexmap::IndexMap;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// When seats are expected to become free.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Forecast {
    /// Seats of all entries that become free per second.
    pub(crate) rate: f64,
    /// Seats that are free at `earliest`, because a group starts empty then.
    pub(crate) free: f64,
}

/// What distinguishes promises, on the clock of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PromiseKey {
    /// Number of the quarter in which the requests are to return.
    due: u64,
    /// When they were refused, in units of [`BOOKED_UNIT`].
    booked: u64,
    priority: u8,
}

/// Number of equal promises.
#[derive(Clone, Copy, Debug, Default)]
struct Promised {
    /// By this entry.
    own: u32,
    /// By the peers, as last reported.
    peers: u32,
    /// Returning requests that this entry has counted against them.
    redeemed: u32,
}

/// Duration of the outages of a service, as a moving average with its mean deviation.
#[derive(Clone, Copy, Debug)]
struct OutageTime {
    mean: Duration,
    deviation: Duration,
}

/// A promise, and what it was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Booking {
    /// Delay after which the client is told to return.
    pub(crate) retry_after: Duration,
    /// Promises for the quarter that were known before, unseen ones of the peers included.
    pub(crate) promised: f64,
    /// Requests of earlier quarters that exceed their capacity.
    pub(crate) backlog: f64,
    /// Capacity of the quarter.
    pub(crate) capacity: f64,
    /// Whether the quarter had room; otherwise it is the last one that the client accepts.
    pub(crate) has_room: bool,
}

/// Promises of one service, and the forecasts that they are based on.
#[derive(Clone, Debug)]
pub(crate) struct Appointments {
    promises: BTreeMap<PromiseKey, Promised>,
    /// What each peer has reported and still counts.
    reports: IndexMap<SocketAddr, Vec<(PromiseKey, u32)>>,
    /// Own promises that the reports of the peers cannot reflect yet: time and quarter.
    recent: VecDeque<(Duration, u64)>,
    /// Promises made so far.
    booked: u64,
    /// Seats that requests of this entry free.
    freed: DecayedRate,
    /// Start of the current outage of each group that is down.
    outages: IndexMap<Name, Duration>,
    /// `None` before the first outage has ended.
    outage_time: Option<OutageTime>,
}

impl Default for Appointments {
    fn default() -> Self {
        Self {
            promises: BTreeMap::new(),
            reports: IndexMap::new(),
            recent: VecDeque::new(),
            booked: 0,
            freed: DecayedRate::new(FREED_RATE_DECAY),
            outages: IndexMap::new(),
            outage_time: None,
        }
    }
}

impl Appointments {
    /// Promises capacity in the earliest quarter with room, between `earliest` and `latest` from
    /// now, or else in the last of them. There are `peers` other entries, whose reports are
    /// `report_age` old.
    pub(crate) fn book(
        &mut self,
        now: Duration,
        priority: u8,
        (earliest, latest): (Duration, Duration),
        forecast: Forecast,
        (peers, report_age): (usize, Duration),
    ) -> Booking {
        self.expire(now);
        let unreported = report_age.min(RETRY_AFTER_MAX);
        while self.recent.front().is_some_and(|(at, _)| *at + unreported < now) {
            self.recent.pop_front();
        }
        let earliest = earliest.min(latest);
        let (first, last) = (quarter_at(now + earliest), quarter_at(now + latest));
        let refilled = quarter_at(now + earliest + REFILL_TIME);
        let usual = forecast.rate.max(0.0) * PROMISE_RATIO * PROMISE_QUARTER.as_secs_f64();
        let refill = forecast.free.max(0.0) * PROMISE_RATIO / (refilled - first).max(1) as f64;
        let mut booking = Booking {
            retry_after: latest,
            promised: 0.0,
            backlog: 0.0,
            capacity: 0.0,
            has_room: false,
        };
        let mut backlog = 0.0;
        for number in quarter_at(now)..=last {
            let capacity =
                if number < refilled && number >= first { usual + refill } else { usual };
            let promised = self.promised(number, peers);
            (booking.promised, booking.backlog, booking.capacity) = (promised, backlog, capacity);
            if number >= first && backlog + promised < capacity {
                booking.has_room = true;
                booking.retry_after = self.time_in(number, now).clamp(earliest, latest);
                break;
            }
            backlog = (backlog + promised - capacity).max(0.0);
        }
        self.booked += 1;
        let due = quarter_at(now + booking.retry_after);
        self.recent.push_back((now, due));
        let key = PromiseKey { due, booked: booked_at(now), priority };
        self.promises.entry(key).or_default().own += 1;
        booking
    }

    /// Whether a returning request, whose client first sent it `elapsed` ago and was refused after
    /// `wait` at most, keeps to the time that some entry has promised. Counts it against the
    /// promise, so that no more requests are on time here than were promised.
    pub(crate) fn is_on_time(
        &mut self,
        now: Duration,
        priority: u8,
        elapsed: Duration,
        wait: Duration,
    ) -> bool {
        self.expire(now);
        let due = quarter_at(now.saturating_sub(ON_TIME_TOLERANCE));
        let last_due = quarter_at(now + ON_TIME_TOLERANCE);
        let sent = now.saturating_sub(elapsed);
        let booked = booked_at(sent.saturating_sub(BOOKED_TOLERANCE));
        let last_booked = booked_at(sent + wait + BOOKED_TOLERANCE);
        let near = self.promises.range_mut(first_key(due)..first_key(last_due + 1));
        let mut fitting = near.filter(|(key, promised)| {
            (booked..=last_booked).contains(&key.booked)
                && key.priority == priority
                && promised.redeemed < promised.own.saturating_add(promised.peers)
        });
        fitting.next().map(|(_, promised)| promised.redeemed += 1).is_some()
    }

    /// Own promises for the peers; `None` if there are none from now on.
    pub(crate) fn news(&self, service: u32, now: Duration) -> Option<PromiseNews> {
        let current = quarter_at(now);
        let due = self.promises.range(first_key(current)..).filter(|(_, p)| p.own > 0);
        let byte = |number: u64| u8::try_from(number).unwrap_or(u8::MAX);
        let promises = due.map(|(key, promised)| PromisedCount {
            due: byte(key.due - current),
            age: byte(booked_at(now).saturating_sub(key.booked)),
            priority: key.priority,
            count: u16::try_from(promised.own).unwrap_or(u16::MAX),
        });
        let promises: Vec<_> = promises.take(PROMISES_MAX).collect();
        let phase_ms = now.saturating_sub(quarter_start(current)).as_millis() as u16;
        (!promises.is_empty()).then_some(PromiseNews { service, phase_ms, promises })
    }

    /// Replaces the promises of `peer` that are still due. Those of a peer that has failed count
    /// until they are due, since its clients return to other entries.
    pub(crate) fn observe_peer(&mut self, peer: SocketAddr, news: &PromiseNews, now: Duration) {
        self.expire(now);
        if !self.reports.contains_key(&peer) && self.reports.len() >= PROMISE_PEERS_MAX {
            return;
        }
        let current = quarter_at(now);
        let mut report = self.reports.shift_remove(&peer).unwrap_or_default();
        for (key, count) in report.iter().filter(|(key, _)| key.due >= current) {
            if let Some(promised) = self.promises.get_mut(key) {
                promised.peers = promised.peers.saturating_sub(*count);
            }
        }
        report.retain(|(key, _)| key.due < current);
        // The middle of the peer's quarter, since its clock has another phase.
        let middle = now + PROMISE_QUARTER / 2;
        let middle = middle.saturating_sub(Duration::from_millis(news.phase_ms.into()));
        for told in news.promises.iter().take(PROMISES_MAX) {
            let due = middle + PROMISE_QUARTER * u32::from(told.due);
            let booked = now.saturating_sub(BOOKED_UNIT * u32::from(told.age));
            if told.count == 0 || due > now + RETRY_AFTER_MAX + PROMISE_QUARTER {
                continue;
            }
            let (due, booked) = (quarter_at(due).max(current), booked_at(booked));
            let key = PromiseKey { due, booked, priority: told.priority };
            let count = u32::from(told.count);
            let promised = self.promises.entry(key).or_default();
            promised.peers = promised.peers.saturating_add(count);
            report.push((key, count));
        }
        if !report.is_empty() {
            self.reports.insert(peer, report);
        }
    }

    /// Records that a request of this entry has freed its seat.
    pub(crate) fn record_freed(&mut self, now: Duration) {
        self.freed.record(now);
    }

    /// Seats per second that requests of this entry free.
    pub(crate) fn freed_rate(&self, now: Duration) -> f64 {
        self.freed.now(now)
    }

    /// Records whether a group runs passes, and learns from the duration of an outage that has
    /// ended, which includes the time `form` that the group takes to form again. Returns that
    /// duration.
    pub(crate) fn observe_group(
        &mut self,
        group: &Name,
        is_open: bool,
        form: Duration,
        now: Duration,
    ) -> Option<Duration> {
        if !is_open {
            self.outages.entry(group.clone()).or_insert(now);
            return None;
        }
        let lasted = now.saturating_sub(self.outages.shift_remove(group)?);
        let observed = lasted.saturating_sub(form).min(RETRY_AFTER_MAX);
        let time = self
            .outage_time
            .get_or_insert(OutageTime { mean: observed, deviation: Duration::ZERO });
        let off = observed.abs_diff(time.mean);
        let mix = |old: Duration, new: Duration| {
            old.mul_f64(1.0 - OUTAGE_WEIGHT) + new.mul_f64(OUTAGE_WEIGHT)
        };
        (time.mean, time.deviation) = (mix(time.mean, observed), mix(time.deviation, off));
        Some(lasted)
    }

    /// Time until the first of the groups that are down is expected to run passes again, which
    /// takes `form` in addition to the outage. `None` if nothing tells: no outage has ended yet, or
    /// all have lasted longer than expected.
    pub(crate) fn expected_return(&self, form: Duration, now: Duration) -> Option<Duration> {
        let time = self.outage_time?;
        let expected = (time.mean + time.deviation).min(RETRY_AFTER_MAX) + form;
        let returns = self.outages.values().map(|began| *began + expected);
        returns.filter_map(|at| at.checked_sub(now)).min()
    }

    /// Promises for a quarter, with those that `peers` are likely to have made like this entry and
    /// not reported yet.
    fn promised(&self, due: u64, peers: usize) -> f64 {
        let known = self
            .promises
            .range(first_key(due)..first_key(due + 1))
            .map(|(_, p)| f64::from(p.own) + f64::from(p.peers));
        let recent = self.recent.iter().filter(|(_, quarter)| *quarter == due).count();
        known.sum::<f64>() + recent as f64 * peers as f64
    }

    /// Delay from now to a time within a quarter. Successive promises are spread evenly over the
    /// quarter by the golden ratio, so that clients do not return at once.
    fn time_in(&self, number: u64, now: Duration) -> Duration {
        let fraction = (self.booked as f64 * 0.618_034).fract();
        let at = PROMISE_QUARTER.mul_f64(number as f64 + fraction);
        at.saturating_sub(now)
    }

    /// Forgets promises that no returning request can be on time for.
    fn expire(&mut self, now: Duration) {
        let due = quarter_at(now.saturating_sub(ON_TIME_TOLERANCE));
        if self.promises.first_key_value().is_none_or(|(key, _)| key.due >= due) {
            return;
        }
        self.promises = self.promises.split_off(&first_key(due));
        self.reports.retain(|_, report| {
            report.retain(|(key, _)| key.due >= due);
            !report.is_empty()
        });
    }
}

fn quarter_at(at: Duration) -> u64 {
    (at.as_nanos() / PROMISE_QUARTER.as_nanos()) as u64
}

fn booked_at(at: Duration) -> u64 {
    (at.as_nanos() / BOOKED_UNIT.as_nanos()) as u64
}

/// The lowest key of promises for the quarter `due`.
fn first_key(due: u64) -> PromiseKey {
    PromiseKey { due, booked: 0, priority: 0 }
}

fn quarter_start(number: u64) -> Duration {
    PROMISE_QUARTER.mul_f64(number as f64)
}
