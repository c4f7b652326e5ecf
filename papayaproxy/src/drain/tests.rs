//! Tests of draining.

use super::codes;
use super::intent::{LeaveConditions, Reason};
use super::machine::{Drain, Phase, Step, Work};
use super::settings::DrainSettings;
use crate::fleet::{Leave, Upstream};
use proptest::prelude::*;
use rstest::rstest;
use std::time::{Duration, SystemTime};

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn drain() -> Drain {
    Drain::new(DrainSettings { move_after: secs(20), stop_limit: secs(100), linger: secs(3) })
}

fn at(n: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + secs(n)
}

fn upstream(open: bool, leaves: Option<(u64, u64)>) -> Upstream {
    Upstream {
        zone: "z1".into(),
        agent: ([127, 0, 0, 1], 1).into(),
        services: Vec::new(),
        role: Default::default(),
        open,
        leaves: leaves.map(|(from, until)| Leave { from: at(from), until: at(until) }),
        fencing: Default::default(),
    }
}

#[rstest]
#[case::serves(false, Some(upstream(true, None)), false, None)]
#[case::before(false, Some(upstream(true, Some((11, 20)))), false, None)]
#[case::at_start(false, Some(upstream(true, Some((10, 20)))), false, Some(Reason::Planned))]
#[case::at_end(false, Some(upstream(true, Some((5, 10)))), false, None)]
#[case::closed(false, Some(upstream(false, None)), false, Some(Reason::Closed))]
#[case::removed(false, None, false, Some(Reason::Closed))]
#[case::host(false, Some(upstream(true, None)), true, Some(Reason::Host))]
#[case::signal(true, Some(upstream(true, Some((10, 20)))), true, Some(Reason::Stopping))]
fn reason_table(
    #[case] stopping: bool,
    #[case] upstream: Option<Upstream>,
    #[case] host_leaving: bool,
    #[case] expected: Option<Reason>,
) {
    let conditions = LeaveConditions { stopping, upstream: upstream.as_ref(), host_leaving };
    assert_eq!(conditions.reason(at(10)), expected);
}

#[test]
fn drain_ends_with_last_work() {
    let mut drain = drain();
    drain.begin(Work::Call).unwrap();
    drain.begin(Work::Stream).unwrap();
    assert_eq!(drain.step(secs(1)), Step::Wait(None));
    drain.set_reason(Some(Reason::Planned), secs(5));
    assert_eq!(drain.begin(Work::Call), Err(codes::LEAVING_PLANNED));
    assert_eq!(drain.step(secs(5)), Step::Wait(Some(secs(25))));
    assert_eq!(drain.step(secs(25)), Step::MoveStreams);
    assert_eq!(drain.step(secs(25)), Step::Wait(Some(secs(105))), "moved once");
    drain.end(Work::Stream);
    assert_eq!(drain.phase(), Phase::Leaving);
    drain.end(Work::Call);
    assert_eq!((drain.step(secs(30)), drain.phase()), (Step::Drained, Phase::Drained));
}

#[test]
fn drain_withdrawn_and_signal() {
    let mut drain = drain();
    drain.set_reason(Some(Reason::Planned), secs(5));
    drain.set_reason(None, secs(6));
    assert_eq!(drain.begin(Work::Call), Ok(()));
    drain.set_reason(Some(Reason::Stopping), secs(7));
    drain.set_reason(None, secs(8));
    assert_eq!(drain.begin(Work::Call), Err(codes::PROCESS_STOPPING));
    assert_eq!(drain.step(secs(107)), Step::Overdue);
}

#[test]
#[should_panic(expected = "P2110")]
fn end_without_begin() {
    drain().end(Work::Call);
}

proptest! {
    /// In any order of reasons and work, no work begins while leaving, the counts match, and a
    /// stopping process never serves again.
    #[test]
    fn drain_any_order(steps in prop::collection::vec((0u8..7, 0u64..9), 0..60)) {
        let mut drain = drain();
        let (mut now, mut calls, mut stopped) = (secs(0), 0u32, false);
        for (kind, wait) in steps {
            now += secs(wait);
            match kind {
                0 | 1 => {
                    let serves = drain.phase() == Phase::Serving;
                    let begun = drain.begin(Work::Call).is_ok();
                    prop_assert_eq!(begun, serves);
                    calls += u32::from(begun);
                }
                2 if calls > 0 => {
                    drain.end(Work::Call);
                    calls -= 1;
                }
                3 => drain.set_reason(Some(Reason::Planned), now),
                4 => drain.set_reason(None, now),
                5 => drain.set_reason(Some(Reason::Host), now),
                6 if wait == 8 => {
                    drain.set_reason(Some(Reason::Stopping), now);
                    stopped = true;
                }
                _ => {}
            }
            let drained = drain.step(now) == Step::Drained;
            prop_assert_eq!(drained, calls == 0 && drain.reason().is_some());
            prop_assert_eq!(drain.in_progress(Work::Call), calls);
            prop_assert!(!stopped || drain.reason() == Some(Reason::Stopping));
        }
    }
}
