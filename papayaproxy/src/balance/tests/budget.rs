//! Retry budget, shared by all entries.

use crate::balance::Arrivals;
use crate::balance::budget::{Budget, BudgetRule};
use std::time::Duration;

const RULE: BudgetRule =
    BudgetRule { ratio: 0.2, slack: 92.0, window: Duration::from_secs(10), is_first: false };
const ENTRIES: usize = 8;

fn spend(budget: &mut Budget, requests: usize, now: Duration) -> usize {
    (0..requests).for_each(|_| budget.count_request(Duration::ZERO, now));
    (0..10_000).take_while(|_| take(budget, now)).count()
}

/// Takes a retry that arrives at once.
fn take(budget: &mut Budget, now: Duration) -> bool {
    let mut arrivals = Arrivals::default();
    let is_granted = budget.try_take(&mut arrivals, Some(ENTRIES), now).is_granted;
    for _ in 0..2 {
        arrivals.record_sent();
        arrivals.record_settled(now);
    }
    budget.settle(&mut arrivals);
    is_granted
}

#[test]
fn budget_all_entries_within_rule() {
    let now = Duration::from_secs(20);
    let spent: usize = (0..ENTRIES).map(|_| spend(&mut Budget::new(RULE), 100, now)).sum();
    let allowed = RULE.ratio * 800.0 + RULE.slack;
    assert!(spent as f64 <= allowed, "{spent} of {allowed}");
    assert!(spent as f64 >= allowed * 0.5, "{spent} of {allowed}");
}

/// All entries are killed within a window: after the restart they must not spend the same budget
/// again.
#[test]
fn budget_restart_within_rule() {
    let before = Duration::from_secs(30);
    let spent: usize = (0..ENTRIES).map(|_| spend(&mut Budget::new(RULE), 60, before)).sum();
    // The new processes are 3 s old, and the window of the first ones ends 7 s later.
    let after = Duration::from_secs(3);
    let retried: usize = (0..ENTRIES).map(|_| spend(&mut Budget::new(RULE), 60, after)).sum();
    let allowed = RULE.ratio * 960.0 + RULE.slack;
    assert!((spent + retried) as f64 <= allowed, "{spent} and {retried} of {allowed}");
}

/// All entries are killed right after they have used their shares, and use them again as soon as
/// they may. No window may hold more than the rule allows.
#[test]
fn budget_restart_after_burst() {
    let before = Duration::from_secs(30);
    let spent: usize = (0..ENTRIES).map(|_| spend(&mut Budget::new(RULE), 60, before)).sum();
    let after = RULE.window - Duration::from_millis(100);
    let retried: usize = (0..ENTRIES).map(|_| spend(&mut Budget::new(RULE), 60, after)).sum();
    // The requests before are in another window than the retries after.
    let allowed = RULE.ratio * 480.0 + RULE.slack;
    assert!((spent + retried) as f64 <= allowed, "{spent} and {retried} of {allowed}");
}

#[test]
fn budget_window_over_renewed() {
    let mut budget = Budget::new(RULE);
    let first = spend(&mut budget, 50, Duration::from_secs(20));
    assert!(first > 0);
    assert_eq!(spend(&mut budget, 0, Duration::from_secs(25)), 0);
    assert!(spend(&mut budget, 50, Duration::from_secs(31)) > 0);
}
