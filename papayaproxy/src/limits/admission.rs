//! Admission: weighted fair shares between workspaces, and early refusal of what cannot finish.
//!
//! A free place goes to the workspace that uses least for its share; within a workspace the most
//! urgent request goes first, then the one with the earliest deadline.

use super::codes;
use super::constants::{
    KEPT_MIN, PAST_HALF, QUEUE_MAX, RESERVE, SMOOTHING, TOOK_SECONDS, WAIT_MAX,
};
use super::queue::{Offer, Queue};
use crate::base::code::Code;
use crate::base::name::Name;
use indexmap::IndexMap;
use std::time::Duration;

/// What becomes of an offer at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Admit,
    /// It waits; [`Admission::next`] answers it later.
    Queue {
        /// The waiting request that lost its place to it, to be answered `not-run`.
        displaced: Option<u64>,
    },
    /// It is refused and has not run.
    Refuse(AdmissionRefusal),
}

/// A refused offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{code}: refused, retry after {retry_after:?}"))]
pub struct AdmissionRefusal {
    /// The result code.
    pub code: Code,
    /// When a retry may succeed.
    pub retry_after: Duration,
}

/// A waiting request that is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// It runs now.
    Run(u64),
    /// It can no longer finish in time and has not run.
    Expire(u64),
}

/// What a workspace uses.
#[derive(Clone, Debug, Default)]
struct Usage {
    running: u32,
    share: f64,
    /// Cost of what runs.
    cost: f64,
    /// Cost of what has ended, fading since `faded`.
    past: f64,
    faded: Duration,
}

impl Usage {
    /// Cost of what runs and of what ended of late.
    fn recent(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.faded).as_secs_f64();
        self.cost + self.past * (-age / PAST_HALF).exp2()
    }

    fn end(&mut self, cost: f64, now: Duration) {
        self.past = self.recent(now) - self.cost + cost;
        self.faded = now;
        self.cost = (self.cost - cost).max(0.0);
        self.running -= 1;
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.running == 0 && self.recent(now) < 1.0
    }
}

/// Counts of offers; each offer ends in exactly one of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Offers made.
    pub offered: u64,
    /// Offers admitted, at once or later.
    pub admitted: u64,
    /// Offers refused at once.
    pub refused: u64,
    /// Offers that could not finish in time any more.
    pub expired: u64,
    /// Offers that lost their place in a full queue.
    pub displaced: u64,
    /// Offers withdrawn while they waited.
    pub withdrawn: u64,
}

/// Admits requests to one process.
#[derive(Debug)]
pub struct Admission {
    capacity: u32,
    running: u32,
    usage: IndexMap<Name, Usage>,
    queue: Queue,
    /// Mean duration of a request, in seconds.
    took: f64,
    counts: AdmissionCounts,
    /// The latest time seen.
    now: Duration,
    /// Workspaces known after the last time that idle ones were forgotten.
    kept: usize,
    /// Breaks the check for room, to show that the assertions catch it.
    #[cfg(test)]
    pub(crate) unbounded: bool,
    /// Drops late requests without an answer, to show that the assertions catch it.
    #[cfg(test)]
    pub(crate) lossy: bool,
}

impl Admission {
    /// Makes an admission that runs `capacity` requests at a time.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity: capacity.max(1),
            running: 0,
            usage: IndexMap::new(),
            queue: Queue::default(),
            took: TOOK_SECONDS,
            counts: AdmissionCounts::default(),
            now: Duration::ZERO,
            kept: 0,
            #[cfg(test)]
            unbounded: false,
            #[cfg(test)]
            lossy: false,
        }
    }

    /// Changes the capacity. What runs above a lower one runs on.
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that may run at a time.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// What became of the offers so far.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// Workspaces that it keeps state of.
    pub fn workspace_count(&self) -> usize {
        self.usage.len()
    }

    /// Decides on an offer at `now`.
    pub fn offer(&mut self, offer: Offer, now: Duration) -> AdmissionDecision {
        self.counts.offered += 1;
        self.now = self.now.max(now);
        let verdict = self.decide(offer, now);
        self.check();
        verdict
    }

    /// Gives the next waiting request that runs or expires; `None` when there is none for now.
    /// To be called again after each change until it gives `None`.
    pub fn next(&mut self, now: Duration) -> Option<QueueDecision> {
        self.now = self.now.max(now);
        let late = self.queue.heads().find(|o| now + o.min_runtime > o.deadline).map(|o| o.id);
        if let Some(id) = late {
            self.queue.take(id);
            #[cfg(test)]
            if self.lossy {
                return None;
            }
            self.counts.expired += 1;
            self.check();
            return Some(QueueDecision::Expire(id));
        }
        let heads = self.queue.heads().filter(|o| self.has_room(o));
        let first = heads.min_by(|a, b| self.level(a).total_cmp(&self.level(b)))?;
        let offer = self.queue.take(first.id)?;
        self.start(&offer);
        self.check();
        Some(QueueDecision::Run(offer.id))
    }

    /// Notes the end of an admitted request that ran for `took`.
    pub fn release(&mut self, workspace: &Name, cost: u32, took: Duration) {
        let Some(usage) = self.usage.get_mut(workspace) else {
            panic!("{}: nothing of {workspace} runs", codes::ANSWER_MISSING);
        };
        usage.end(f64::from(cost), self.now);
        self.running -= 1;
        self.took += SMOOTHING * (took.as_secs_f64() - self.took);
        self.check();
    }

    /// Withdraws a waiting request whose caller is gone; false if it does not wait.
    pub fn withdraw(&mut self, id: u64) -> bool {
        let found = self.queue.take(id).is_some();
        self.counts.withdrawn += u64::from(found);
        self.check();
        found
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
        let wait = self.wait_of(&offer);
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

    /// Tells whether an offer may run beside what runs. The last places are kept for workspaces
    /// within their share.
    fn has_room(&self, offer: &Offer) -> bool {
        #[cfg(test)]
        if self.unbounded {
            return true;
        }
        let kept = (f64::from(self.capacity) * RESERVE).floor() as u32;
        let free = self.capacity.saturating_sub(self.running);
        free > kept || (free > 0 && self.is_within(offer))
    }

    /// Tells whether a workspace uses no more for its share than the mean of all.
    fn is_within(&self, offer: &Offer) -> bool {
        let used: f64 = self.usage.values().map(|u| u.recent(self.now)).sum();
        let shares: f64 = self.usage.values().map(|u| u.share).sum();
        let own = self.usage.get(&offer.workspace).map_or(0.0, |u| u.recent(self.now));
        own / f64::from(offer.share.max(1)) * shares <= used
    }

    /// The workspace's fair part of the capacity, among those that run or wait.
    fn part_of(&self, offer: &Offer) -> f64 {
        let own = f64::from(offer.share.max(1));
        let busy = |name: &Name, u: &Usage| u.running > 0 && name != &offer.workspace;
        let others = self.usage.iter().filter(|(name, u)| busy(name, u));
        let running: f64 = others.map(|(_, u)| u.share).sum();
        let idle = |o: &&Offer| {
            o.workspace != offer.workspace
                && self.usage.get(&o.workspace).is_none_or(|u| u.running == 0)
        };
        let waiting: f64 = self.queue.heads().filter(idle).map(|o| f64::from(o.share.max(1))).sum();
        f64::from(self.capacity) * own / (own + running + waiting)
    }

    /// How much a workspace would use for its share with one more request.
    fn level(&self, offer: &Offer) -> f64 {
        let used = self.usage.get(&offer.workspace).map_or(0.0, |u| u.recent(self.now));
        (used + f64::from(offer.cost)) / f64::from(offer.share.max(1))
    }

    /// Expected wait of an offer behind those of its own workspace.
    fn wait_of(&self, offer: &Offer) -> Duration {
        let ahead = self.queue.ahead(offer) as f64 + 1.0;
        Duration::from_secs_f64(ahead * self.took / self.part_of(offer).max(1.0))
    }

    fn start(&mut self, offer: &Offer) {
        self.forget_idle();
        let usage = self.usage.entry(offer.workspace.clone()).or_default();
        usage.running += 1;
        usage.cost += f64::from(offer.cost);
        usage.share = f64::from(offer.share.max(1));
        self.running += 1;
        self.counts.admitted += 1;
        assert!(
            self.running <= self.capacity,
            "{}: {} run of {}",
            codes::SHARES_EXCEEDED,
            self.running,
            self.capacity
        );
    }

    /// Forgets idle workspaces whenever their number has doubled.
    fn forget_idle(&mut self) {
        if self.usage.len() < (2 * self.kept).max(KEPT_MIN) {
            return;
        }
        let now = self.now;
        self.usage.retain(|_, u| !u.is_idle(now));
        self.kept = self.usage.len();
    }

    /// Every offer has one answer or waits.
    fn check(&self) {
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
