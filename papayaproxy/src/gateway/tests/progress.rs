//! Which requests a stopping entry still accepts.

use crate::base::name::Name;
use crate::gateway::progress::{Progress, Shortfall};
use rstest::rstest;
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(8);
const LIMIT: Duration = Duration::from_secs(8);
const STOP: Duration = Duration::from_secs(100);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// An entry whose last streams took `longest`, and which began to stop at [`STOP`].
fn stopping_after(longest: Duration) -> (Progress, Name) {
    let (mut progress, route) = (Progress::new(GRACE), Name::from("stream"));
    let ticket = progress.start(&Name::from("r"), &route, STOP - ms(100) - longest);
    progress.end(ticket, STOP - ms(100));
    progress.begin_stop(STOP);
    (progress, route)
}

/// Entries are stopped in turn while the only group lacks ranks, so that a stream takes over 4 s. A
/// stream that comes 3.06 s after SIGTERM would be cut at the end of the grace period; it must be
/// refused before it is passed on.
#[rstest]
#[case::usual(1500, 3060, true)]
#[case::slow_group(4600, 3060, false)]
#[case::slow_group_early(4600, 500, true)]
#[case::usual_late(1500, 6200, false)]
fn can_finish_while_stopping(#[case] longest: u64, #[case] after: u64, #[case] accepted: bool) {
    let (mut progress, route) = stopping_after(ms(longest));
    assert_eq!(progress.can_finish(&route, LIMIT, STOP + ms(after)).is_ok(), accepted);
}

/// The group stalls during the stop: streams in progress show it before any has ended.
#[test]
fn can_finish_streams_stalled_refused() {
    let (mut progress, route) = stopping_after(ms(1200));
    progress.start(&Name::from("r"), &route, STOP - ms(1500));
    assert!(progress.can_finish(&route, LIMIT, STOP + ms(1000)).is_ok());
    assert!(progress.can_finish(&route, LIMIT, STOP + ms(3500)).is_err());
}

/// Nothing is known of the route: the request may take all of its time.
#[test]
fn can_finish_route_unknown_time_limit() {
    let (mut progress, other) = (Progress::new(GRACE), Name::from("other"));
    progress.begin_stop(STOP);
    assert!(progress.can_finish(&other, LIMIT, STOP).is_err());
    assert!(progress.can_finish(&other, ms(1200), STOP + ms(3000)).is_ok());
}

#[test]
fn can_finish_not_stopping_always() {
    let (mut progress, route) = (Progress::new(GRACE), Name::from("stream"));
    progress.start(&Name::from("r"), &route, Duration::ZERO);
    assert!(progress.can_finish(&route, LIMIT, STOP).is_ok());
}

/// Streams are cut at the exit: the log has to name them, and the replica of those that were sent.
#[test]
fn unfinished_requests_named() {
    let (mut progress, route) = (Progress::new(GRACE), Name::from("stream"));
    let tickets = ["r-1", "r-2", "r-3"].map(|id| progress.start(&Name::from(id), &route, STOP));
    progress.record_send(tickets[1], &Name::from("i-1"));
    progress.record_send(tickets[2], &Name::from("i-2"));
    progress.end(tickets[2], STOP + ms(100));
    progress.begin_stop(STOP + ms(500));
    let unfinished = progress.unfinished().map(|s| (s.id.as_str(), s.upstream.as_deref()));
    assert_eq!(unfinished.collect::<Vec<_>>(), [("r-1", None), ("r-2", Some("i-1"))]);
    assert_eq!(progress.stopping_for(STOP + ms(700)), ms(200));
}

/// A refusal has to tell what was compared.
#[test]
fn can_finish_shortfall_named() {
    let (mut progress, route) = stopping_after(ms(4000));
    let shortfall = Shortfall { expected: ms(5000), left: ms(4680) };
    assert_eq!(progress.can_finish(&route, LIMIT, STOP + ms(3000)), Err(shortfall));
}
