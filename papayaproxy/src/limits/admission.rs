//! Admission control: weighted fair sharing between workspaces, and early refusal of requests that
//! cannot finish in time.
//!
//! Free capacity goes to the workspace with the lowest usage relative to its share; within a
//! workspace the highest priority goes first, then the earliest deadline.

use super::codes;
use super::constants::{
    DURATION_WEIGHT, INITIAL_DURATION_S, QUEUE_MAX, RESERVED_RATIO, USAGE_HALF_LIFE_S,
    USAGE_RECORDS_MIN, WAIT_MAX,
};
use super::queue::{Offer, Queue};
use crate::base::code::Code;
use crate::base::name::Name;
use indexmap::IndexMap;
use std::time::Duration;

/// Immediate decision on an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs now.
    Admit,
    /// The request is queued; [`Admission::next`] returns the decision later.
    Queue {
        /// The waiting request that it replaced in a full queue, to be answered `not-run`.
        displaced: Option<u64>,
    },
    /// The request is refused and has not run.
    Refuse(AdmissionRefusal),
}

/// A refused offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{code}: refused, retry after {retry_after:?}"))]
pub struct AdmissionRefusal {
    /// Result code, which gives the reason.
    pub code: Code,
    /// Delay after which a retry may succeed; zero if the deadline is too near in any case.
    pub retry_after: Duration,
}

/// Decision on a waiting request, by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request runs now.
    Run(u64),
    /// The request can no longer finish in time and has not run.
    Expire(u64),
}

/// Usage of one workspace.
#[derive(Clone, Debug, Default)]
struct Usage {
    running: u32,
    share: f64,
    /// Cost of the running requests.
    running_cost: f64,
    /// Cost of the requests that have ended, decayed up to `decayed_at`.
    ended_cost: f64,
    decayed_at: Duration,
}

impl Usage {
    /// Cost of the running and the recently ended requests.
    fn recent(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.decayed_at).as_secs_f64();
        self.running_cost + self.ended_cost * (-age / USAGE_HALF_LIFE_S).exp2()
    }

    fn end(&mut self, cost: f64, now: Duration) {
        self.ended_cost = self.recent(now) - self.running_cost + cost;
        self.decayed_at = now;
        self.running_cost = (self.running_cost - cost).max(0.0);
        self.running -= 1;
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.running == 0 && self.recent(now) < 1.0
    }
}

/// Counts of offers and of their results; each offer has exactly one result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// All offers.
    pub offered: u64,
    /// Offers admitted, at once or from the queue.
    pub admitted: u64,
    /// Offers refused at once.
    pub refused: u64,
    /// Offers that expired in the queue.
    pub expired: u64,
    /// Offers replaced by a more urgent one in a full queue.
    pub displaced: u64,
    /// Offers withdrawn from the queue.
    pub withdrawn: u64,
}

/// Admission control of one process.
#[derive(Debug)]
pub struct Admission {
    capacity: u32,
    running: u32,
    usage: IndexMap<Name, Usage>,
    queue: Queue,
    /// Mean duration of a request, in seconds.
    mean_duration: f64,
    counts: AdmissionCounts,
    /// Latest time passed to `offer` or `next`, for calls that have no `now`.
    now: Duration,
    /// Number of workspaces in `usage` after idle ones were last removed.
    last_record_count: usize,
    /// Skips the check for free capacity, to show that the assertions catch it.
    #[cfg(test)]
    pub(crate) skips_room_check: bool,
    /// Drops expired requests without an answer, to show that the assertions catch it.
    #[cfg(test)]
    pub(crate) drops_expired: bool,
}

impl Admission {
    /// Creates admission control for `capacity` concurrent requests, at least 1.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity: capacity.max(1),
            running: 0,
            usage: IndexMap::new(),
            queue: Queue::default(),
            mean_duration: INITIAL_DURATION_S,
            counts: AdmissionCounts::default(),
            now: Duration::ZERO,
            last_record_count: 0,
            #[cfg(test)]
            skips_room_check: false,
            #[cfg(test)]
            drops_expired: false,
        }
    }

    /// Changes the capacity, at least 1. Requests that run beyond a lower one continue.
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests that may run concurrently.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Counts of all offers so far.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// Number of workspaces with a usage record.
    pub fn workspace_count(&self) -> usize {
        self.usage.len()
    }

    /// Decides on an offer at `now`.
    pub fn offer(&mut self, offer: Offer, now: Duration) -> AdmissionDecision {
        self.counts.offered += 1;
        self.now = self.now.max(now);
        let decision = self.decide(offer, now);
        self.check_counts();
        decision
    }

    /// Takes the next request that runs or expires from the queue; `None` if there is none for now.
    /// Must be called after each change until it returns `None`.
    pub fn next(&mut self, now: Duration) -> Option<QueueDecision> {
        self.now = self.now.max(now);
        let expired = self.queue.heads().find(|o| now + o.min_runtime > o.deadline).map(|o| o.id);
        if let Some(id) = expired {
            self.queue.take(id);
            #[cfg(test)]
            if self.drops_expired {
                return None;
            }
            self.counts.expired += 1;
            self.check_counts();
            return Some(QueueDecision::Expire(id));
        }
        let heads = self.queue.heads().filter(|o| self.has_room(o));
        let first =
            heads.min_by(|a, b| self.normalized_usage(a).total_cmp(&self.normalized_usage(b)))?;
        let offer = self.queue.take(first.id)?;
        self.start(&offer);
        self.check_counts();
        Some(QueueDecision::Run(offer.id))
    }

    /// Records the end of an admitted request that ran for `duration`.
    ///
    /// # Panics
    /// If no request of the workspace runs.
    pub fn release(&mut self, workspace: &Name, cost: u32, duration: Duration) {
        let Some(usage) = self.usage.get_mut(workspace) else {
            panic!("{}: no request of workspace {workspace} is running", codes::ANSWER_MISSING);
        };
        usage.end(f64::from(cost), self.now);
        self.running -= 1;
        self.mean_duration += DURATION_WEIGHT * (duration.as_secs_f64() - self.mean_duration);
        self.check_counts();
    }

    /// Removes a waiting request whose caller has gone; `false` if it is not waiting.
    pub fn withdraw(&mut self, id: u64) -> bool {
        let is_found = self.queue.take(id).is_some();
        self.counts.withdrawn += u64::from(is_found);
        self.check_counts();
        is_found
    }

    fn decide(&mut self, offer: Offer, now: Duration) -> AdmissionDecision {
        if now + offer.min_runtime > offer.deadline {
            self.counts.refused += 1;
            let retry_after = Duration::ZERO;
            return AdmissionDecision::Refuse(AdmissionRefusal {
                code: codes::DEADLINE_UNREACHABLE,
                retry_after,
            });
        }
        if self.queue.len_of(&offer.workspace) == 0 && self.has_room(&offer) {
            self.start(&offer);
            return AdmissionDecision::Admit;
        }
        let wait = self.expected_wait(&offer);
        if now + wait + offer.min_runtime > offer.deadline {
            self.counts.refused += 1;
            return AdmissionDecision::Refuse(AdmissionRefusal {
                code: codes::DEADLINE_UNREACHABLE,
                retry_after: wait,
            });
        }
        if wait > WAIT_MAX {
            self.counts.refused += 1;
            return AdmissionDecision::Refuse(AdmissionRefusal {
                code: codes::QUEUE_FULL,
                retry_after: wait,
            });
        }
        if self.queue.len_of(&offer.workspace) < QUEUE_MAX {
            self.queue.push(offer);
            return AdmissionDecision::Queue { displaced: None };
        }
        let last = self.queue.last(&offer.workspace).filter(|l| l.priority < offer.priority);
        let Some(id) = last.map(|l| l.id) else {
            self.counts.refused += 1;
            return AdmissionDecision::Refuse(AdmissionRefusal {
                code: codes::QUEUE_FULL,
                retry_after: wait,
            });
        };
        self.queue.take(id);
        self.counts.displaced += 1;
        self.queue.push(offer);
        AdmissionDecision::Queue { displaced: Some(id) }
    }

    /// Whether there is capacity for an offer. A fraction is reserved for workspaces within their
    /// share.
    fn has_room(&self, offer: &Offer) -> bool {
        #[cfg(test)]
        if self.skips_room_check {
            return true;
        }
        let reserved = (f64::from(self.capacity) * RESERVED_RATIO).floor() as u32;
        let free = self.capacity.saturating_sub(self.running);
        free > reserved || (free > 0 && self.is_within_share(offer))
    }

    /// Whether the usage of a workspace relative to its share is at most the mean of all.
    fn is_within_share(&self, offer: &Offer) -> bool {
        let used: f64 = self.usage.values().map(|u| u.recent(self.now)).sum();
        let shares: f64 = self.usage.values().map(|u| u.share).sum();
        let own = self.usage.get(&offer.workspace).map_or(0.0, |u| u.recent(self.now));
        own / f64::from(offer.share.max(1)) * shares <= used
    }

    /// Requests that the workspace may run at its fair share of the capacity, among the workspaces
    /// with running or waiting requests.
    fn fair_capacity(&self, offer: &Offer) -> f64 {
        let own = f64::from(offer.share.max(1));
        let is_running = |name: &Name, u: &Usage| u.running > 0 && name != &offer.workspace;
        let others = self.usage.iter().filter(|(name, u)| is_running(name, u));
        let running: f64 = others.map(|(_, u)| u.share).sum();
        let only_waits = |o: &&Offer| {
            o.workspace != offer.workspace
                && self.usage.get(&o.workspace).is_none_or(|u| u.running == 0)
        };
        let waiting: f64 =
            self.queue.heads().filter(only_waits).map(|o| f64::from(o.share.max(1))).sum();
        f64::from(self.capacity) * own / (own + running + waiting)
    }

    /// Usage of the workspace relative to its share, with the offer included.
    fn normalized_usage(&self, offer: &Offer) -> f64 {
        let used = self.usage.get(&offer.workspace).map_or(0.0, |u| u.recent(self.now));
        (used + f64::from(offer.cost)) / f64::from(offer.share.max(1))
    }

    /// Expected wait of an offer behind the waiting requests of its own workspace.
    fn expected_wait(&self, offer: &Offer) -> Duration {
        let ahead = self.queue.ahead(offer) as f64 + 1.0;
        Duration::from_secs_f64(ahead * self.mean_duration / self.fair_capacity(offer).max(1.0))
    }

    fn start(&mut self, offer: &Offer) {
        self.remove_idle();
        let usage = self.usage.entry(offer.workspace.clone()).or_default();
        usage.running += 1;
        usage.running_cost += f64::from(offer.cost);
        usage.share = f64::from(offer.share.max(1));
        self.running += 1;
        self.counts.admitted += 1;
        assert!(
            self.running <= self.capacity,
            "{}: {} requests run with a capacity of {}",
            codes::SHARES_EXCEEDED,
            self.running,
            self.capacity
        );
    }

    /// Removes idle workspaces whenever the number of records has doubled.
    fn remove_idle(&mut self) {
        if self.usage.len() < (2 * self.last_record_count).max(USAGE_RECORDS_MIN) {
            return;
        }
        let now = self.now;
        self.usage.retain(|_, u| !u.is_idle(now));
        self.last_record_count = self.usage.len();
    }

    /// Asserts that every offer has exactly one result or is waiting.
    fn check_counts(&self) {
        let c = &self.counts;
        let answered = c.admitted + c.refused + c.expired + c.displaced + c.withdrawn;
        assert!(
            c.offered == answered + self.queue.len() as u64,
            "{}: {c:?} with {} waiting",
            codes::ANSWER_MISSING,
            self.queue.len()
        );
    }
}
