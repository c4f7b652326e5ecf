//! The duration of a group's passes, as one of its ranks sees it.

use crate::ranks::message::RankStatus;
use crate::ranks::pass::PassClock;
use rstest::rstest;
use std::time::Duration;

fn view(step: u64, running: u32) -> RankStatus {
    RankStatus {
        group: "g".into(),
        epoch: 1,
        rank: 0,
        size: 32,
        open: true,
        busy: false,
        sequence: 0,
        running,
        waiting: 0,
        started_ms: 1,
        slowdown: 1.0,
        step,
        version: 0,
        prepared: None,
        armed: None,
        held: None,
    }
}

/// In a large group a rank is often without requests of its own, while the others' keep it busy.
#[rstest]
#[case::rank_busy(10, 4, 60.0)]
#[case::rank_idle(10, 0, 60.0)]
#[case::group_idle(0, 0, 0.0)]
fn observe_passes_of_the_group(#[case] steps: u64, #[case] running: u32, #[case] expected: f64) {
    let mut clock = PassClock::default();
    for turn in 0..5 {
        clock.observe(&view(turn * steps, running), Duration::from_millis(600 * (1 + turn)));
    }
    assert!((clock.pass_ms - expected).abs() < 0.1, "{}", clock.pass_ms);
}
