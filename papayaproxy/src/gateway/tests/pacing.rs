//! Release times of events whose replicas run passes of varying length.

use crate::gateway::pacing::Pacer;
use rstest::rstest;
use std::time::Duration;

const GAP_TARGET: Duration = Duration::from_millis(120);
const DEADLINE: Duration = Duration::from_secs(20);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Longest gap between two released events, and the longest time for which one was held back.
fn play(mut pacer: Pacer, passes: &[u64]) -> (Duration, Duration) {
    let (mut arrived, mut previous) = (ms(1000), None);
    let (mut gap, mut held) = (Duration::ZERO, Duration::ZERO);
    for pass in passes {
        arrived += ms(*pass);
        let release = pacer.release_at(arrived);
        assert!(release >= arrived && previous.is_none_or(|p| release >= p), "out of order");
        gap = gap.max(previous.map_or(Duration::ZERO, |p| release - p));
        held = held.max(release - arrived);
        previous = Some(release);
    }
    (gap, held)
}

/// Demand shifts: until a new map is in use, three passes take 165 ms in place of 75 ms. A stream
/// that has run for some events must not show a gap above the target.
#[rstest]
#[case::short_reserve(120, 1)]
#[case::long_reserve(200, 3)]
fn release_at_demand_shift_gaps_covered(#[case] delay_limit: u64, #[case] slow_passes: usize) {
    let mut passes = vec![75; 10];
    passes.extend(vec![160; slow_passes]);
    passes.extend(vec![75; 10]);
    passes.extend(vec![160; slow_passes]);
    let pacer = Pacer::new(Some(GAP_TARGET), ms(delay_limit), DEADLINE);
    let (gap, held) = play(pacer, &passes);
    assert!(gap <= GAP_TARGET, "gap of {gap:?}");
    assert!(held < ms(delay_limit), "held for {held:?}");
}

/// Passes that are always too long leave no reserve; no event is held back then.
#[test]
fn release_at_slow_group_at_once() {
    let pacer = Pacer::new(Some(GAP_TARGET), ms(200), DEADLINE);
    assert_eq!(play(pacer, &[165; 20]).1, Duration::ZERO);
}

#[rstest]
#[case::no_gap_target(None, 200, DEADLINE)]
#[case::off(Some(GAP_TARGET), 0, DEADLINE)]
#[case::near_deadline(Some(GAP_TARGET), 200, ms(1100))]
fn release_at_unpaced_at_once(
    #[case] gap: Option<Duration>,
    #[case] delay_limit: u64,
    #[case] deadline: Duration,
) {
    assert_eq!(play(Pacer::new(gap, ms(delay_limit), deadline), &[50; 20]).1, Duration::ZERO);
}
