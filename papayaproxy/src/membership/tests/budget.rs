//! Tests of the rate limit and backoff of platform calls.

use crate::membership::budget::{CallBudget, backoff};
use crate::membership::constants::{BACKOFF_MAX, BACKOFF_MIN, CALLS_BURST, CALLS_RATE};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

#[test]
fn budget_bounded() {
    let mut budget = CallBudget::new(Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut calls = 0;
    while now < Duration::from_secs(60) {
        now += budget.reserve(now);
        calls += 1;
    }
    let most = (CALLS_BURST + CALLS_RATE * 60.0) as u32 + 1;
    assert!(calls <= most, "{calls} calls, at most {most}");
}

#[test]
fn back_off_grows_with_jitter() {
    let mut rng = StdRng::seed_from_u64(1);
    for failures in 1..200 {
        let pause = backoff(failures, &mut rng);
        assert!(pause >= BACKOFF_MIN / 2 && pause <= BACKOFF_MAX, "{pause:?}");
    }
    assert!(backoff(1, &mut rng) < backoff(10, &mut rng));
}
