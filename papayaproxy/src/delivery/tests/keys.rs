//! Tests of the key table, one rule at a time.

use super::super::codes;
use super::super::keys::{Claim, KeyTable};
use super::super::record::{BeginDecision, Lookup, RunOutcome};
use super::super::settings::KeySettings;
use super::{RETENTION, START_LIFE, claim, issue, new_table, reply, secs};
use crate::base::code::Code;
use crate::base::name::Incarnation;
use rstest::rstest;

#[test]
fn begin_once_then_replay() {
    let mut table = new_table();
    let key = issue(&mut table, secs(1));
    assert_eq!(table.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Run);
    assert_eq!(table.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Wait);
    table.finish(&key, RunOutcome::Completed(reply("ok")), secs(3));
    assert_eq!(table.begin(&key, &claim(b"a"), secs(70)), BeginDecision::Replay(reply("ok")));
}

#[test]
fn begin_with_other_body() {
    let mut table = new_table();
    let key = issue(&mut table, secs(1));
    assert_eq!(table.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Run);
    let clash = BeginDecision::Refused(codes::KEY_BODY_CLASH);
    assert_eq!(table.begin(&key, &claim(b"b"), secs(2)), clash);
    table.finish(&key, RunOutcome::Completed(reply("ok")), secs(3));
    assert_eq!(table.begin(&key, &claim(b"b"), secs(4)), clash);
}

#[rstest]
#[case::workspace(Claim { workspace: "south".into(), ..claim(b"a") }, codes::KEY_WORKSPACE)]
#[case::service(Claim { service: "desk".into(), ..claim(b"a") }, codes::KEY_SERVICE)]
fn begin_bound_to_other(#[case] claim: Claim, #[case] expected: Code) {
    let mut table = new_table();
    let key = issue(&mut table, secs(1));
    assert_eq!(table.begin(&key, &claim, secs(2)), BeginDecision::Refused(expected));
    assert!(table.is_empty());
}

#[rstest]
#[case::incarnation("ledger-1", 8, codes::KEY_INCARNATION_GONE)]
#[case::upstream("ledger-2", 7, codes::KEY_ELSEWHERE)]
#[case::not_issued("ledger-1", 7, codes::KEY_UNISSUED)]
fn begin_other_agent(#[case] upstream: &str, #[case] incarnation: u64, #[case] expected: Code) {
    let key = issue(&mut new_table(), secs(1));
    let mut other = KeyTable::new(upstream.into(), Incarnation(incarnation), super::settings());
    assert_eq!(other.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Refused(expected));
    assert_eq!(other.lookup(&key, &"north".into(), secs(2)), Lookup::Status(expected));
}

#[rstest]
#[case::in_time(START_LIFE, None)]
#[case::expired(START_LIFE + secs(1), Some(codes::KEY_EXPIRED))]
#[case::end_of_retention(START_LIFE + RETENTION, Some(codes::KEY_EXPIRED))]
#[case::past_retention(START_LIFE + RETENTION + secs(1), Some(codes::KEY_FORGOTTEN))]
fn begin_by_age(#[case] now: std::time::Duration, #[case] refusal: Option<Code>) {
    let mut table = new_table();
    let key = issue(&mut table, secs(1));
    let expected = refusal.map_or(BeginDecision::Run, BeginDecision::Refused);
    assert_eq!(table.begin(&key, &claim(b"a"), now), expected);
}

#[test]
fn lookup_done_past_retention() {
    let mut table = new_table();
    let key = issue(&mut table, secs(1));
    assert_eq!(table.begin(&key, &claim(b"a"), secs(60)), BeginDecision::Run);
    table.finish(&key, RunOutcome::Completed(reply("ok")), secs(90));
    let lookup = |table: &mut KeyTable, now| table.lookup(&key, &"north".into(), secs(now));
    assert_eq!(lookup(&mut table, 129), Lookup::Completed(reply("ok")));
    assert_eq!(lookup(&mut table, 130), Lookup::Status(codes::KEY_FORGOTTEN));
    assert!(table.is_empty() && table.reply_bytes() == 0);
}

#[test]
fn lookup_reply_dropped_by_size() {
    let mut table = new_table();
    let keys: Vec<_> = (0..3).map(|_| issue(&mut table, secs(1))).collect();
    for key in &keys {
        assert_eq!(table.begin(key, &claim(b"a"), secs(2)), BeginDecision::Run);
        table.finish(key, RunOutcome::Completed(reply(&"x".repeat(40))), secs(2));
    }
    let dropped = BeginDecision::Refused(codes::KEY_REPLY_DROPPED);
    assert_eq!(table.begin(&keys[0], &claim(b"a"), secs(3)), dropped);
    assert!(matches!(table.begin(&keys[2], &claim(b"a"), secs(3)), BeginDecision::Replay(_)));
    assert_eq!(table.reply_bytes(), 80);
}

#[test]
fn revoke_before_start() {
    let mut table = new_table();
    let key = issue(&mut table, secs(1));
    let state = table.revoke(&key, &"north".into(), secs(2));
    assert_eq!(state, Lookup::Status(codes::KEY_REVOKED));
    let refused = BeginDecision::Refused(codes::KEY_REVOKED);
    assert_eq!(table.begin(&key, &claim(b"a"), secs(3)), refused);
}

#[test]
fn revoke_after_start() {
    let mut table = new_table();
    let key = issue(&mut table, secs(1));
    assert_eq!(table.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Run);
    let state = table.revoke(&key, &"north".into(), secs(2));
    assert_eq!(state, Lookup::Status(codes::KEY_STARTED));
    table.finish(&key, RunOutcome::Unknown(codes::RUN_ABANDONED), secs(3));
    let state = table.revoke(&key, &"north".into(), secs(4));
    assert_eq!(state, Lookup::Status(codes::RUN_ABANDONED));
}

#[test]
fn begin_closed_stays_refused() {
    let mut table = new_table();
    let key = issue(&mut table, secs(1));
    table.close(codes::KEYS_FULL);
    let refused = BeginDecision::Refused(codes::KEYS_FULL);
    assert_eq!(table.begin(&key, &claim(b"a"), secs(2)), refused);
    table.reopen();
    assert_eq!(table.begin(&key, &claim(b"a"), secs(3)), refused, "a delayed copy must not run");
}

#[test]
fn begin_late_stays_refused() {
    let mut table = new_table();
    let key = issue(&mut table, secs(1));
    let late = Claim { deadline: secs(2), ..claim(b"a") };
    let refused = BeginDecision::Refused(codes::KEY_DEADLINE);
    assert_eq!(table.begin(&key, &late, secs(2)), refused);
    assert_eq!(table.begin(&key, &claim(b"a"), secs(3)), refused);
}

#[test]
fn issue_bounded_without_memory() {
    let mut table = new_table();
    for _ in 0..10 {
        table.issue(100, &"north".into(), &"ledger".into(), secs(1)).unwrap();
    }
    assert!(table.is_empty());
    let full = table.issue(1, &"north".into(), &"ledger".into(), secs(100));
    assert_eq!(full, Err(codes::KEYS_FULL));
    table.issue(1, &"north".into(), &"ledger".into(), secs(102)).unwrap();
}

#[test]
fn issue_bounded_by_workspace() {
    let settings = KeySettings { workspace_max: 2, ..super::settings() };
    let mut table = KeyTable::new("ledger-1".into(), Incarnation(7), settings);
    let mut issue =
        |name: &str, now| table.issue(2, &name.into(), &"ledger".into(), secs(now)).err();
    assert_eq!(issue("north", 1), None);
    assert_eq!(issue("north", 2), Some(codes::KEYS_WORKSPACE_FULL));
    assert_eq!(issue("south", 2), None);
    assert_eq!(issue("north", 102), None, "the first two have left the window");
}

#[test]
#[should_panic(expected = "P1232")]
fn finish_twice() {
    let mut table = new_table();
    let key = issue(&mut table, secs(1));
    assert_eq!(table.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Run);
    table.finish(&key, RunOutcome::Completed(reply("a")), secs(3));
    table.finish(&key, RunOutcome::Completed(reply("b")), secs(3));
}

#[test]
#[should_panic(expected = "P1231")]
fn finish_not_run_with_unknown_code() {
    let mut table = new_table();
    let key = issue(&mut table, secs(1));
    assert_eq!(table.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Run);
    table.finish(&key, RunOutcome::NotRun(codes::RUN_ABANDONED), secs(3));
}
