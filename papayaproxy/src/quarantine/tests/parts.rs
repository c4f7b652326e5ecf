//! Which parts are blocked, and when they are released.

use crate::base::name::Incarnation;
use crate::quarantine::constants::{CRASH_TTL, CRASHES_MAX, PARTS_MAX, SURVIVAL_TTL, TOGETHER_TTL};
use crate::quarantine::{Crash, PartKey, Quarantine, shared_keys};
use rstest::rstest;
use std::time::Duration;

/// Part that sound requests share.
const SHARED: PartKey = 1;
/// Part that crashes upstreams.
const DEADLY: PartKey = 2;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A request for `parts` that was sent at `sent` seconds; its upstream crashed at `ended` seconds.
fn crash(upstream: u32, parts: &[PartKey], sent: f64, ended: f64) -> Crash {
    let (sent_at, ended_at) = (s(sent), s(ended));
    Crash { upstream, entry: Incarnation(1), parts: parts.to_vec(), sent_at, ended_at }
}

fn record(quarantine: &mut Quarantine, crash: Crash) {
    let now = crash.ended_at;
    quarantine.record_crash(crash, now);
}

#[rstest]
#[case::none(&[], 0)]
#[case::own_only(&["a"], 0)]
#[case::several(&["a", "b", "c"], 2)]
fn shared_keys_last_left_out(#[case] parts: &[&str], #[case] expected: usize) {
    let parts: Vec<_> = parts.iter().map(|p| (*p).into()).collect();
    assert_eq!(shared_keys("s", &parts).len(), expected);
}

#[test]
fn shared_keys_by_service() {
    let parts = ["a".into(), "b".into()];
    assert_ne!(shared_keys("one", &parts), shared_keys("two", &parts));
}

#[test]
fn shared_keys_bounded() {
    let parts: Vec<_> = (0..100).map(|n| n.to_string().into()).collect();
    let keys = shared_keys("s", &parts);
    assert_eq!(keys.len(), PARTS_MAX);
    assert_eq!(keys[PARTS_MAX - 1], shared_keys("s", &parts[98..])[0]);
}

/// A part that was in two crashes is blocked. The part that it shares with sound requests is not.
#[test]
fn record_crash_repeated_blocks_part() {
    let mut quarantine = Quarantine::default();
    quarantine.record_survival(&[SHARED], s(1.0));
    record(&mut quarantine, crash(1, &[SHARED, DEADLY], 2.0, 2.5));
    assert_eq!(quarantine.blocked_part(&[SHARED, DEADLY]), None);
    record(&mut quarantine, crash(2, &[SHARED, DEADLY], 3.0, 3.5));
    assert_eq!(quarantine.blocked_part(&[SHARED, DEADLY]), Some(DEADLY));
    assert_eq!(quarantine.blocked_part(&[SHARED]), None);
}

/// No answer has gone on yet, as after a restart of all: the part that the fewest share is blocked.
#[test]
fn record_crash_nothing_survived_blocks_last_part() {
    let mut quarantine = Quarantine::default();
    record(&mut quarantine, crash(1, &[SHARED, DEADLY], 2.0, 2.5));
    record(&mut quarantine, crash(2, &[SHARED, DEADLY], 3.0, 3.5));
    assert_eq!(quarantine.blocked_part(&[SHARED]), None);
    assert_eq!(quarantine.blocked_part(&[DEADLY]), Some(DEADLY));
}

/// Upstreams that crash together, as with their zone, end answers on parts that are not to blame:
/// those on which answers have gone on, and those that only some of them held.
#[test]
fn record_crash_together_blocks_nothing() {
    let mut quarantine = Quarantine::default();
    quarantine.record_survival(&[SHARED], s(1.0));
    for upstream in 0..6 {
        let ended = 2.5 + 0.05 * f64::from(upstream);
        let own = 100 + u64::from(upstream / 2);
        record(&mut quarantine, crash(upstream, &[SHARED, own], 2.0, ended));
    }
    assert_eq!(quarantine.blocked_part(&[SHARED, 100, 101, 102]), None);
}

/// Many requests with the deadly part are under way when the first upstream crashes. Since they may
/// as well be ended by something else, what they share is blocked for a while only.
#[test]
fn record_crash_together_blocks_for_a_while() {
    let mut quarantine = Quarantine::default();
    for upstream in 0..3 {
        let ended = 2.5 + 0.05 * f64::from(upstream);
        record(&mut quarantine, crash(upstream, &[DEADLY], 2.0, ended));
    }
    assert_eq!(quarantine.blocked_part(&[DEADLY]), Some(DEADLY));
    quarantine.expire(s(30.0));
    assert_eq!(quarantine.blocked_part(&[DEADLY]), Some(DEADLY));
    quarantine.expire(s(2.6) + TOGETHER_TTL);
    assert_eq!(quarantine.blocked_part(&[DEADLY]), None);
    // One more request shows whether it is to blame.
    record(&mut quarantine, crash(3, &[DEADLY], 70.0, 70.5));
    assert_eq!(quarantine.blocked_part(&[DEADLY]), Some(DEADLY));
}

/// Guards against blocking sound parts that two upstreams happened to hold as a deadly one crashed
/// them.
#[test]
fn record_crash_coincidence_not_blamed() {
    let mut quarantine = Quarantine::default();
    for upstream in 0..8 {
        // Two waves of four upstreams; one upstream of each holds the sound part too.
        let sent = if upstream < 4 { 2.0 } else { 6.0 };
        record(&mut quarantine, crash(upstream, &[DEADLY], sent, sent + 0.5));
        if upstream == 2 || upstream == 5 {
            record(&mut quarantine, crash(upstream, &[SHARED], sent, sent + 0.5));
        }
    }
    assert_eq!(quarantine.blocked_part(&[DEADLY]), Some(DEADLY));
    assert_eq!(quarantine.blocked_part(&[SHARED]), None);
}

/// An answer that goes on releases its parts, and clears them of all earlier crashes.
#[test]
fn record_survival_releases() {
    let mut quarantine = Quarantine::default();
    record(&mut quarantine, crash(1, &[SHARED], 2.0, 2.5));
    record(&mut quarantine, crash(2, &[SHARED], 3.0, 3.5));
    assert_eq!(quarantine.blocked_part(&[SHARED]), Some(SHARED));
    quarantine.record_survival(&[SHARED], s(4.0));
    assert_eq!(quarantine.blocked_part(&[SHARED]), None);
    record(&mut quarantine, crash(3, &[SHARED], 5.0, 5.5));
    assert_eq!(quarantine.blocked_part(&[SHARED]), None);
}

/// A part that was sound and crashes upstreams now is blocked once its last survival is too old.
#[test]
fn record_crash_survival_too_old_blocks() {
    let mut quarantine = Quarantine::default();
    quarantine.record_survival(&[SHARED], s(1.0));
    let later = 1.5 + SURVIVAL_TTL.as_secs_f64();
    record(&mut quarantine, crash(1, &[SHARED], later, later + 0.1));
    record(&mut quarantine, crash(2, &[SHARED], later + 1.0, later + 1.1));
    assert_eq!(quarantine.blocked_part(&[SHARED]), Some(SHARED));
}

#[test]
fn expire_releases() {
    let mut quarantine = Quarantine::default();
    record(&mut quarantine, crash(1, &[DEADLY], 2.0, 2.5));
    record(&mut quarantine, crash(2, &[DEADLY], 3.0, 3.5));
    quarantine.expire(s(100.0));
    assert_eq!(quarantine.blocked_part(&[DEADLY]), Some(DEADLY));
    quarantine.expire(s(3.0) + CRASH_TTL);
    assert_eq!(quarantine.blocked_part(&[DEADLY]), None);
}

/// Two entries see one crash each; both block the part, whichever message comes first.
#[rstest]
#[case::in_order(false)]
#[case::reversed(true)]
fn observe_crashes_of_two_entries(#[case] reversed: bool) {
    let (mut one, mut two, mut third) = Default::default();
    record(&mut one, crash(1, &[SHARED, DEADLY], 2.0, 2.5));
    record(&mut two, crash(2, &[SHARED, DEADLY], 3.0, 3.5));
    let mut news = vec![one.news(false, s(3.6)), two.news(false, s(3.6))];
    if reversed {
        news.reverse();
    }
    for news in &news {
        // Repeated messages are not counted again.
        Quarantine::observe(&mut third, news, s(3.6));
        Quarantine::observe(&mut third, news, s(3.8));
    }
    assert_eq!(third.blocked_part(&[DEADLY]), Some(DEADLY));
    one.observe(&two.news(false, s(3.6)), s(3.6));
    assert_eq!(one.blocked_part(&[DEADLY]), Some(DEADLY));
}

/// An entry that has seen answers on a part go on vouches for it at the others.
#[test]
fn observe_survival_of_peer_clears() {
    let (mut one, mut two) = (Quarantine::default(), Quarantine::default());
    two.record_survival(&[SHARED], s(1.0));
    record(&mut one, crash(1, &[SHARED], 2.0, 2.5));
    two.observe(&one.news(false, s(2.6)), s(2.6));
    one.observe(&two.news(false, s(2.7)), s(2.7));
    record(&mut one, crash(2, &[SHARED], 3.0, 3.5));
    assert_eq!(one.blocked_part(&[SHARED]), None);
}

/// An entry that has just started learns what the others know.
#[test]
fn observe_all_after_start() {
    let (mut one, mut started) = (Quarantine::default(), Quarantine::default());
    record(&mut one, crash(1, &[DEADLY], 2.0, 2.5));
    record(&mut one, crash(2, &[DEADLY], 3.0, 3.5));
    assert!(one.news(false, s(60.0)).is_empty());
    started.observe(&one.news(true, s(60.0)), s(5.0));
    assert_eq!(started.blocked_part(&[DEADLY]), Some(DEADLY));
}

/// Guards against a part that is not blocked any more and hides another one.
#[test]
fn record_crash_released_part_hides_none() {
    let mut quarantine = Quarantine::default();
    for upstream in 0..4 {
        record(&mut quarantine, crash(upstream, &[SHARED], 2.0, 2.5));
    }
    let later = 3.0 + TOGETHER_TTL.as_secs_f64();
    record(&mut quarantine, crash(5, &[DEADLY], later, later + 0.1));
    record(&mut quarantine, crash(6, &[DEADLY], later + 1.0, later + 1.1));
    assert_eq!(quarantine.blocked_part(&[SHARED]), None);
    assert_eq!(quarantine.blocked_part(&[DEADLY]), Some(DEADLY));
}

/// Guards against crashes that block nothing and push out those that do.
#[test]
fn record_crash_many_keeps_blocked() {
    let mut quarantine = Quarantine::default();
    record(&mut quarantine, crash(1, &[DEADLY], 2.0, 2.5));
    record(&mut quarantine, crash(2, &[DEADLY], 3.0, 3.5));
    for number in 10..1000 {
        let sent = f64::from(number);
        record(&mut quarantine, crash(number, &[u64::from(number)], sent, sent + 0.5));
    }
    assert_eq!(quarantine.blocked_part(&[DEADLY]), Some(DEADLY));
}

/// Guards against an entry that has just started and takes crashes from before its start for crashes
/// one after the other.
#[test]
fn observe_all_after_start_order_kept() {
    let (mut one, mut started) = (Quarantine::default(), Quarantine::default());
    for upstream in 0..2 {
        record(&mut one, crash(upstream, &[SHARED], 2.0, 2.5));
    }
    started.observe(&one.news(true, s(60.0)), s(1.0));
    assert_eq!(started.blocked_part(&[SHARED]), None);
}

/// Guards against one crash that two entries tell with different delays and that is taken for two,
/// one after the other.
#[test]
fn observe_one_crash_told_late_counts_once() {
    let (mut one, mut two, mut third) = Default::default();
    record(&mut one, crash(1, &[SHARED], 2.0, 2.05));
    record(&mut two, crash(1, &[SHARED, DEADLY], 2.02, 2.05));
    Quarantine::observe(&mut third, &one.news(false, s(2.1)), s(2.1));
    third.observe(&two.news(false, s(2.1)), s(2.16));
    assert_eq!(third.blocked_part(&[SHARED, DEADLY]), None);
}

/// Guards against requests that were under way at two crashes, which two entries tell with different
/// delays, and that look as if one had been sent after the other.
#[test]
fn observe_crashes_told_late_not_in_turn() {
    let (mut one, mut two, mut third) = Default::default();
    let by_two = |crash| Crash { entry: Incarnation(2), ..crash };
    record(&mut one, crash(1, &[SHARED], 2.0, 2.06));
    record(&mut two, by_two(crash(2, &[SHARED], 2.04, 2.10)));
    Quarantine::observe(&mut third, &one.news(false, s(2.11)), s(2.11));
    third.observe(&two.news(false, s(2.11)), s(2.16));
    assert_eq!(third.blocked_part(&[SHARED]), None);
}

/// Guards against two crashes of one entry's request, half a millisecond apart, whose order is lost
/// on the way to the others.
#[test]
fn observe_crashes_of_one_entry_order_kept() {
    let (mut one, mut two) = (Quarantine::default(), Quarantine::default());
    record(&mut one, crash(1, &[DEADLY], 2.0, 2.0005));
    let first = one.news(false, s(2.0005));
    record(&mut one, crash(2, &[DEADLY], 2.0006, 2.001));
    let mut second = one.news(false, s(2.001));
    second.crashes.retain(|(crash, _)| crash.upstream == 2);
    two.observe(&second, s(2.002));
    two.observe(&first, s(2.010));
    assert_eq!(two.blocked_part(&[DEADLY]), Some(DEADLY));
}

/// Guards against times of a peer that are out of range and end this entry.
#[test]
fn observe_times_out_of_range_no_panic() {
    let mut quarantine = Quarantine::default();
    record(&mut quarantine, crash(1, &[DEADLY], 2.0, 2.5));
    let mut news = quarantine.news(true, s(3.0));
    let (told, _) = news.crashes[0].clone();
    let (entry, sent_at, ended_at) = (Incarnation(2), Duration::ZERO, Duration::MAX);
    news.crashes = vec![(Crash { upstream: 9, entry, sent_at, ended_at, ..told }, 0)];
    quarantine.observe(&news, s(3.0));
    assert_eq!(quarantine.blocked_part(&[DEADLY]), None);
}

#[test]
fn record_crash_many_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..1000 {
        let sent = f64::from(number);
        record(&mut quarantine, crash(number, &[u64::from(number)], sent, sent + 0.5));
    }
    assert_eq!(quarantine.news(true, s(1000.0)).crashes.len(), CRASHES_MAX);
}
