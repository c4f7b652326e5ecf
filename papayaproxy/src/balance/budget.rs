//! Retry budget of a service, shared by all entries without messages between them: each counts its
//! own requests and uses an equal part of the slack.

use super::constants::{BUDGET_RATIO, FIRST_WINDOW_RATIO, SHARING_ENTRIES_MIN};
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
}

/// Whether a retry is allowed, and what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BudgetDecision {
    pub(crate) is_granted: bool,
    /// Requests of this entry in the window.
    pub(crate) requests: usize,
    /// Retries of this entry in the window, this one included if granted.
    pub(crate) retries: usize,
    /// Entries that the slack is divided by; `None` if their number is unknown, and there is none.
    pub(crate) entries: Option<usize>,
    /// This entry's part of the slack, in retries.
    pub(crate) slack: f64,
}

/// One entry's share of the retry budget of one service.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    rule: BudgetRule,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Creates a budget without any requests or retries counted.
    pub(crate) fn new(rule: BudgetRule) -> Self {
        Self { rule, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a client's request, which raises the number of retries allowed.
    pub(crate) fn count_request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry if the share of one entry among `entries` allows it; `None` if their number
    /// is unknown. `now` counts from the start of the process.
    pub(crate) fn try_take(&mut self, entries: Option<usize>, now: Duration) -> BudgetDecision {
        self.expire(now);
        let entries = entries.map(|known| known.max(SHARING_ENTRIES_MIN));
        // What the run before has used is not known, but stays in the window: in the worst case all
        // that its requests and its part of the slack allowed, right before its end.
        let (used, slack) = match now < self.rule.window {
            true => (FIRST_WINDOW_RATIO, 0.0),
            false => {
                (BUDGET_RATIO, entries.map_or(0.0, |n| self.rule.slack / n as f64 * BUDGET_RATIO))
            }
        };
        let share = self.rule.ratio * self.requests.len() as f64 * used + slack;
        let is_granted = share - self.retries.len() as f64 >= 1.0;
        if is_granted {
            self.retries.push_back(now);
        }
        let (requests, retries) = (self.requests.len(), self.retries.len());
        BudgetDecision { is_granted, requests, retries, entries, slack }
    }

    fn expire(&mut self, now: Duration) {
        let window = self.rule.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at + window < now) {
                times.pop_front();
            }
        }
    }
}
