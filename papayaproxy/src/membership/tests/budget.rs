//! Tests of the bounds of calls to the platform.

use crate::membership::budget::{Budget, back_off};
use crate::membership::constants::{BACK_OFF_MAX, BACK_OFF_MIN, CALLS_BURST, CALLS_RATE};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

#[test]
fn budget_bounded() {
    let mut budget = Budget::new(Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut calls = 0;
    while now < Duration::from_secs(60) {
        now += budget.take(now);
        calls += 1;
    }
    let most = (CALLS_BURST + CALLS_RATE * 60.0) as u32 + 1;
    assert!(calls <= most, "{calls} calls, at most {most}");
}

#[test]
fn back_off_grows_with_jitter() {
    let mut rng = StdRng::seed_from_u64(1);
    for failures in 1..200 {
        let pause = back_off(failures, &mut rng);
        assert!(pause >= BACK_OFF_MIN / 2 && pause <= BACK_OFF_MAX, "{pause:?}");
    }
    assert!(back_off(1, &mut rng) < back_off(10, &mut rng));
}
