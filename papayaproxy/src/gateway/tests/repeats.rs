//! Record of the decisions on further attempts.

use crate::balance::Arrivals;
use crate::balance::budget::{Budget, BudgetRule};
use crate::gateway::meters::Meters;
use crate::gateway::repeats::record;
use crate::telemetry::Metrics;
use std::time::Duration;

/// Without them, nobody can tell from outside how many repeats the budget lets through.
#[test]
fn record_counted_by_service_and_result() {
    let metrics = Metrics::open().unwrap();
    let meters = Meters::new(&metrics);
    let window = Duration::from_secs(10);
    let mut budget = Budget::new(BudgetRule { ratio: 0.2, slack: 0.0, window, is_first: false });
    (0..25).for_each(|_| budget.count_request(Duration::ZERO, window));
    let mut decide = || {
        let decision = budget.try_take(&mut Arrivals::default(), Some(8), window);
        record(&meters, "r1", "plain", Some(decision))
    };
    assert_eq!([decide(), decide(), decide(), decide(), decide()], [true, true, true, true, false]);
    assert!(!record(&meters, "r2", "gone", None), "a service that has left is not retried");
    let text = String::from_utf8(metrics.render()).unwrap();
    for (service, result, count) in
        [("plain", "granted", 4), ("plain", "denied", 1), ("gone", "denied", 1)]
    {
        let is_line = |l: &&str| {
            l.starts_with("papaya_gateway_repeats_total{")
                && l.contains(&format!("service=\"{service}\""))
                && l.contains(&format!("result=\"{result}\""))
        };
        let line = text.lines().find(is_line).unwrap_or_else(|| panic!("{text}"));
        assert!(line.ends_with(&format!(" {count}")), "{line}");
    }
}
