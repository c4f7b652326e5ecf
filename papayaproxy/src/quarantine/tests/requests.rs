//! Requests that end with the upstreams that run them.

use crate::base::name::Incarnation;
use crate::quarantine::constants::{ANSWERED_TTL, REQUEST_TTL, SUSPECTS_MAX};
use crate::quarantine::requests::{RequestKey, RequestQuarantine, request_key};
use crate::quarantine::{Crash, PartNews};
use rstest::rstest;
use std::time::Duration;

const KEY: RequestKey = 7;
const STARTED: Duration = Duration::from_secs(100);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// An attempt at `upstream` that `entry` sent at `sent` and that ended 50 ms later.
fn broken(entry: u64, upstream: u32, sent: u64) -> Crash {
    let (sent_at, ended_at) = (STARTED + ms(sent), STARTED + ms(sent + 50));
    Crash { upstream, entry: Incarnation(entry), parts: vec![KEY], sent_at, ended_at }
}

fn record(quarantine: &mut RequestQuarantine, attempts: &[(u32, u64)]) {
    for (upstream, sent) in attempts {
        let attempt = broken(1, *upstream, *sent);
        quarantine.record_broken(attempt.clone(), attempt.ended_at);
    }
}

/// What is blocked: attempts in turn at several upstreams. One upstream may be at fault itself, and what
/// ends many at one time ends sound requests, too.
#[rstest]
#[case::in_turn(&[(1, 0), (2, 100), (3, 200)], true)]
#[case::two_upstreams_started_anew(&[(1, 0), (2, 100), (1, 3000)], true)]
#[case::two_attempts(&[(1, 0), (2, 100)], false)]
#[case::one_upstream(&[(1, 0), (1, 2000), (1, 4000), (1, 6000)], false)]
#[case::one_end_seen_by_three(&[(1, 0), (1, 10), (1, 20), (2, 100)], false)]
#[case::at_one_time(&[(1, 0), (2, 1), (3, 2), (4, 3), (5, 4)], false)]
fn record_broken_blocks(#[case] attempts: &[(u32, u64)], #[case] is_blocked: bool) {
    let mut quarantine = RequestQuarantine::default();
    record(&mut quarantine, attempts);
    assert_eq!(quarantine.is_blocked(KEY, STARTED + ms(10_000)), is_blocked);
    assert!(!quarantine.is_blocked(KEY + 1, STARTED + ms(10_000)), "another request");
    let last = STARTED + ms(attempts.last().unwrap().1 + 50);
    assert!(!quarantine.is_blocked(KEY, last + REQUEST_TTL), "not for ever");
}

/// A request that many send, and that is answered, must not be refused for a series of crashes or cut
/// connections beside it.
#[rstest]
#[case::answered_before(STARTED - ms(1000), true)]
#[case::answered_long_before(STARTED - ANSWERED_TTL - ms(1000), false)]
fn record_broken_answered_vouches(#[case] answered: Duration, #[case] is_sent: bool) {
    let mut quarantine = RequestQuarantine::default();
    quarantine.record_answer(KEY, answered);
    record(&mut quarantine, &[(1, 0), (2, 100), (3, 200), (4, 300)]);
    assert_eq!(!quarantine.is_blocked(KEY, STARTED + ms(1000)), is_sent);
}

/// No entry alone has seen enough; together they have. An answer at one of them releases the request at
/// all, and vouches against what arrives late.
#[test]
fn observe_entries_agree() {
    let now = STARTED + ms(1000);
    let mut entries = [1, 2, 3].map(|entry: u64| {
        let mut quarantine = RequestQuarantine::default();
        let attempt = broken(entry, entry as u32, entry * 200);
        quarantine.record_broken(attempt.clone(), attempt.ended_at);
        quarantine
    });
    let news = entries.each_ref().map(|e| e.news(false, now));
    for entry in &mut entries {
        assert!(!entry.is_blocked(KEY, now));
        news.iter().for_each(|n| entry.observe(n, now));
        assert!(entry.is_blocked(KEY, now));
    }
    let mut started = RequestQuarantine::default();
    started.observe(&entries[0].news(true, now), now);
    assert!(started.is_blocked(KEY, now), "an entry that starts anew is told");
    entries[0].record_answer(KEY, now);
    let answered = entries[0].news(false, now);
    assert_eq!(answered.survived, vec![(KEY, 0)]);
    entries[1].observe(&answered, now);
    entries[1].observe(&news[2], now);
    entries[1].observe(&news[0], now);
    assert!(!entries[1].is_blocked(KEY, now));
    assert_eq!(entries[1].news(false, now + REQUEST_TTL), PartNews::default());
}

/// Many other requests that end with their upstreams must not displace one that is blocked.
#[test]
fn record_broken_many_others_blocked_kept() {
    let mut quarantine = RequestQuarantine::default();
    record(&mut quarantine, &[(1, 0), (2, 100), (3, 200)]);
    for other in 0..SUSPECTS_MAX as u64 * 2 {
        let attempt = Crash { parts: vec![1000 + other], ..broken(1, 4, 1000) };
        quarantine.record_broken(attempt, STARTED + ms(1050));
    }
    assert!(quarantine.is_blocked(KEY, STARTED + ms(2000)));
    assert_eq!(quarantine.news(true, STARTED + ms(2000)).crashes[0].0.parts, vec![KEY]);
    // What blocks nothing is told for a while only, or each entry would repeat it for minutes.
    let later = quarantine.news(true, STARTED + ms(5000)).crashes;
    assert!(later.len() == 3 && later.iter().all(|(c, _)| c.parts == vec![KEY]));
}

/// Requests that differ in any of their fields are not the same, wherever one field ends.
#[test]
fn request_key_fields_apart() {
    let key = |fields: [&str; 5]| {
        let [service, method, target, workspace, body] = fields;
        request_key(service, method, target, workspace, body.as_bytes())
    };
    let base = ["s", "POST", "/a", "w", "b"];
    for changed in [
        ["t", "POST", "/a", "w", "b"],
        ["s", "PUT", "/a", "w", "b"],
        ["s", "POST", "/aw", "", "b"],
        ["s", "POST", "/a", "wb", ""],
        ["s", "POST", "/a", "w", "c"],
    ] {
        assert_ne!(key(base), key(changed), "{changed:?}");
    }
}
