//! Tests of the experiment: the stated targets on short runs with fixed seeds.

use super::capacity::capacity;
use super::figures::Figures;
use super::policy::{OURS, POLICIES, Policy};
use super::workload::{Shape, arrivals};
use super::world::{Plan, run};
use rstest::rstest;
use std::time::Duration;

const WARM: Duration = Duration::from_secs(15);
const SPAN: Duration = Duration::from_secs(35);

fn figures(policy: Policy, load: f64, lag: Duration) -> Figures {
    let shape = Shape { seed: 3, shared: 4 };
    let arrivals = arrivals(shape, capacity(shape) * load, SPAN, None);
    let plan = Plan {
        policy,
        arrivals: &arrivals,
        lag,
        warm: WARM,
        span: SPAN,
        faults: &[],
        seed: shape.seed,
        queues: true,
    };
    run(&plan).figures
}

#[rstest]
#[case::fresh(100)]
#[case::old(1000)]
fn router_first_token_in_time(#[case] lag_ms: u64) {
    let found = figures(OURS, 0.85, Duration::from_millis(lag_ms));
    assert!(found.first(0.95) <= 620.0, "{} ms", found.first(0.95));
    assert!(found.gap(0.95) <= 25.0, "{} ms", found.gap(0.95));
    assert_eq!((found.lost, found.late), (0, 0));
}

#[test]
fn router_tail_below_least_reported() {
    let lag = Duration::from_secs(1);
    let ours = figures(OURS, 0.5, lag).first(0.99);
    let least = figures(POLICIES[1], 0.5, lag).first(0.99);
    assert!(ours <= 0.75 * least, "{ours} and {least} ms");
}
