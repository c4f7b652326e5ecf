//! The budget of repeats that all entries share without a message on the path.

use super::constants::{BUDGET_ENTRIES, BUDGET_PART};
use std::collections::VecDeque;
use std::time::Duration;

/// What may be repeated for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BudgetRule {
    /// Repeats for each request.
    pub(crate) ratio: f64,
    /// Repeats beside these, of all entries together.
    pub(crate) slack: f64,
    /// The span that counts.
    pub(crate) window: Duration,
}

/// One entry's part of the budget of one service.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    rule: BudgetRule,
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl Budget {
    /// A budget from which nothing is spent.
    pub(crate) fn new(rule: BudgetRule) -> Self {
        Self { rule, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Counts a client's request for the service.
    pub(crate) fn count_request(&mut self, now: Duration) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat, if this entry's part allows it among `entries`.
    pub(crate) fn try_take(&mut self, entries: usize, now: Duration) -> bool {
        let allowed = self.left(entries, now) >= 1.0;
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }

    /// Repeats that are left in the present span. `now` counts from the start of the process.
    pub(crate) fn left(&mut self, entries: usize, now: Duration) -> f64 {
        self.expire(now);
        let entries = entries.max(BUDGET_ENTRIES) as f64;
        // What the run before this one has spent is not known; it leaves the span as time passes.
        let known = (now.as_secs_f64() / self.rule.window.as_secs_f64()).min(1.0);
        let slack = self.rule.slack / entries * known;
        let part = self.rule.ratio * self.requests.len() as f64 + slack;
        part * BUDGET_PART - self.repeats.len() as f64
    }

    fn expire(&mut self, now: Duration) {
        let window = self.rule.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| *at + window < now) {
                times.pop_front();
            }
        }
    }
}
