//! Tests of the pass duration measured by one rank of a group.

use crate::ranks::message::RankStatus;
use crate::ranks::pass::PassClock;
use rstest::rstest;
use std::time::Duration;

fn status(step: u64, running: u32) -> RankStatus {
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
        copying: None,
        prepared: None,
        armed: None,
        held: None,
    }
}

/// In a large group a rank often has no requests of its own while passes run for the other ranks'.
#[rstest]
#[case::rank_busy(10, 4, 60.0)]
#[case::rank_idle(10, 0, 60.0)]
#[case::group_idle(0, 0, 0.0)]
fn observe_passes_of_the_group(#[case] steps: u64, #[case] running: u32, #[case] expected: f64) {
    let mut clock = PassClock::default();
    for round in 0..5 {
        clock.observe(&status(round * steps, running), Duration::from_millis(600 * (1 + round)));
    }
    assert!((clock.pass_ms - expected).abs() < 0.1, "{}", clock.pass_ms);
}

/// Callers leave a group that stands; a rank without requests must not tell that it runs again.
#[test]
fn observe_stalled_group_left_by_callers_not_running() {
    let mut clock = PassClock::default();
    let at = Duration::from_millis;
    clock.observe(&status(5, 4), at(100));
    clock.observe(&status(5, 4), at(700));
    assert!(clock.is_stalled(at(700)));
    clock.observe(&status(5, 0), at(800));
    assert!(clock.is_stalled(at(800)));
    clock.observe(&status(6, 0), at(900));
    assert!(!clock.is_stalled(at(900)), "a pass has begun");
    // With no requests nothing proves a stall for good.
    clock.observe(&status(6, 4), at(1000));
    clock.observe(&status(6, 4), at(2000));
    clock.observe(&status(6, 0), at(3100));
    assert!(!clock.is_stalled(at(3100)));
}

/// An agent that starts beside a running replica must not count the passes before its start: the lead then
/// set a switch hundreds of passes ahead, and the group kept its map for half a minute.
#[rstest]
#[case::at_start(50)]
#[case::after_a_while(700)]
fn observe_agent_started_late_earlier_passes_ignored(#[case] first_ms: u64) {
    let mut clock = PassClock::default();
    clock.observe(&status(640, 4), Duration::from_millis(first_ms));
    assert!(clock.pass_ms == 0.0, "{}", clock.pass_ms);
    clock.observe(&status(650, 4), Duration::from_millis(first_ms + 600));
    assert!((clock.pass_ms - 60.0).abs() < 0.1, "{}", clock.pass_ms);
}
