//! Which requests a stopping entry still accepts.

use crate::base::name::Name;
use crate::gateway::progress::{Progress, Shortfall};
use rstest::rstest;
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(8);
const STOP: Duration = Duration::from_secs(100);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// An entry that began to stop at [`STOP`].
fn stopping() -> Progress {
    let mut progress = Progress::new(GRACE);
    progress.begin_stop(STOP);
    progress
}

/// A stopping entry takes what it can't finish: only what ends for certain before the exit at
/// 0.96 of the grace period, with time to write the answer, may be taken.
#[rstest]
#[case::short_early(2800, 0, true)]
#[case::short(2800, 3060, true)]
#[case::short_late(2800, 6200, false)]
#[case::long_early(6900, 0, true)]
#[case::long_soon(6900, 500, false)]
#[case::time_limit_at_once(8000, 0, false)]
#[case::last_moment(1380, 6000, true)]
#[case::answer_not_written(1400, 6000, false)]
#[case::exit_over(1, 9000, false)]
fn can_finish_while_stopping(#[case] longest: u64, #[case] after: u64, #[case] accepted: bool) {
    assert_eq!(stopping().can_finish(ms(longest), STOP + ms(after)).is_ok(), accepted);
}

#[test]
fn can_finish_not_stopping_always() {
    assert_eq!(Progress::new(GRACE).can_finish(ms(8000), STOP), Ok(()));
}

/// Streams are cut at the exit: the log has to name them, and the replica of those that were sent.
#[test]
fn unfinished_requests_named() {
    let (mut progress, route) = (Progress::new(GRACE), Name::from("stream"));
    let tickets = ["r-1", "r-2", "r-3"].map(|id| progress.start(&Name::from(id), &route, STOP));
    progress.record_send(tickets[1], &Name::from("i-1"));
    progress.record_send(tickets[2], &Name::from("i-2"));
    progress.end(tickets[2]);
    progress.begin_stop(STOP + ms(500));
    let unfinished = progress.unfinished().map(|s| (s.id.as_str(), s.upstream.as_deref()));
    assert_eq!(unfinished.collect::<Vec<_>>(), [("r-1", None), ("r-2", Some("i-1"))]);
    assert_eq!(progress.stopping_for(STOP + ms(700)), ms(200));
}

/// Guards against streams that are cut since their replica is slower than its figures: in the strict
/// part of a stop only the time limit counts, which always holds.
#[rstest]
#[case::early(Some(4000), 2400, 4000)]
#[case::early_time_limit_shorter(Some(9000), 2400, 8000)]
#[case::strict(Some(4000), 2500, 8000)]
#[case::strict_short(Some(100), 3000, 8000)]
#[case::no_figures(None, 3000, 8000)]
fn longest_time_strict_limit_only(
    #[case] answer: Option<u64>,
    #[case] after: u64,
    #[case] expected: u64,
) {
    let longest = stopping().longest_time(ms(8000), answer.map(ms), STOP + ms(after));
    assert_eq!(longest, ms(expected));
}

/// A refusal has to tell what was compared.
#[test]
fn can_finish_shortfall_named() {
    let shortfall = Shortfall { longest: ms(5000), left: ms(4680) };
    assert_eq!(stopping().can_finish(ms(5000), STOP + ms(3000)), Err(shortfall));
}
