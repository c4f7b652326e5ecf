//! Retry budget of a service, shared by all entries without messages between them: each counts its
//! own requests and uses an equal part of the slack.
//!
//! A retry stands in the budget from its grant until a window after the last time at which an attempt
//! of its request may arrive. So no window holds more arrivals than were allowed at one moment,
//! however long they are on their way.

use super::arrivals::Arrivals;
use super::constants::{BUDGET_RATIO, FIRST_WINDOW_RATIO, SHARING_ENTRIES_MIN};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Limits on retries of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BudgetRule {
    /// Retries allowed per request.
    pub(crate) ratio: f64,
    /// Further retries allowed per window, by all entries together.
    pub(crate) slack: f64,
    /// Sliding window over which requests and retries are counted.
    pub(crate) window: Duration,
    /// Whether no process ran here before, which may have used the budget.
    pub(crate) is_first: bool,
}

/// Whether a retry is allowed, and what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BudgetDecision {
    pub(crate) is_granted: bool,
    /// Requests of this entry in the window.
    pub(crate) requests: usize,
    /// Retries of this entry that may have arrived in the window or may still arrive, this one
    /// included if granted.
    pub(crate) retries: usize,
    /// Those of them that may still arrive.
    pub(crate) outstanding: usize,
    /// Entries that the slack is divided by; `None` if their number is unknown, and there is none.
    pub(crate) entries: Option<usize>,
    /// This entry's part of the slack, in retries.
    pub(crate) slack: f64,
}

/// A retry that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Charge(u64);

/// One entry's share of the retry budget of one service.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    rule: BudgetRule,
    requests: VecDeque<Duration>,
    /// Latest arrival by retry; `None` while that is open.
    retries: IndexMap<Charge, Option<Duration>>,
    /// Retries granted so far.
    granted: u64,
    /// Longest time for which a request of the service may be on its way.
    transit: Duration,
}

impl Budget {
    /// Creates a budget without any requests or retries counted.
    pub(crate) fn new(rule: BudgetRule) -> Self {
        Self {
            rule,
            requests: VecDeque::new(),
            retries: IndexMap::new(),
            granted: 0,
            transit: Duration::ZERO,
        }
    }

    /// Counts a client's request, which raises the number of retries allowed. Its attempts may be
    /// on their way for `transit`.
    pub(crate) fn count_request(&mut self, transit: Duration, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
        self.transit = self.transit.max(transit);
    }

    /// Takes one retry for the request with `arrivals` if the share of one entry among `entries`
    /// allows it; `None` if their number is unknown. `now` counts from the start of the process.
    pub(crate) fn try_take(
        &mut self,
        arrivals: &mut Arrivals,
        entries: Option<usize>,
        now: Duration,
    ) -> BudgetDecision {
        self.expire(now);
        let entries = entries.map(|known| known.max(SHARING_ENTRIES_MIN));
        // What the run before has used is not known, but stays in the window: in the worst case all
        // that its requests and its part of the slack allowed, right before its end. They may have
        // been on their way then.
        let (used, slack) = match !self.rule.is_first && now < self.rule.window + self.transit {
            true => (FIRST_WINDOW_RATIO, 0.0),
            false => {
                (BUDGET_RATIO, entries.map_or(0.0, |n| self.rule.slack / n as f64 * BUDGET_RATIO))
            }
        };
        let share = self.rule.ratio * self.requests.len() as f64 * used + slack;
        let is_granted = share - self.retries.len() as f64 >= 1.0;
        if is_granted {
            let charge = Charge(self.granted);
            self.granted += 1;
            self.retries.insert(charge, None);
            arrivals.charges.push(charge);
            self.settle(arrivals);
        }
        let may_arrive = |latest: &&Option<Duration>| latest.is_none_or(|at| at > now);
        let outstanding = self.retries.values().filter(may_arrive).count();
        let (requests, retries) = (self.requests.len(), self.retries.len());
        BudgetDecision { is_granted, requests, retries, outstanding, entries, slack }
    }

    /// Updates until when the retries of the request with `arrivals` stand in the budget.
    pub(crate) fn settle(&mut self, arrivals: &mut Arrivals) {
        for charge in arrivals.take_surplus() {
            self.retries.swap_remove(&charge);
        }
        for charge in &arrivals.charges {
            // One that has expired stands no more; its request goes on with what arrived.
            if let Some(latest) = self.retries.get_mut(charge) {
                *latest = arrivals.latest();
            }
        }
    }

    fn expire(&mut self, now: Duration) {
        let window = self.rule.window;
        while self.requests.front().is_some_and(|at| *at + window < now) {
            self.requests.pop_front();
        }
        self.retries.retain(|_, latest| latest.is_none_or(|at| at + window >= now));
    }
}
