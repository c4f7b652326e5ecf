//! Tests of the key state, one rule at a time.

use super::super::codes;
use super::super::keys::{Claim, KeyTable};
use super::super::record::{BeginDecision, Lookup, RunOutcome};
use super::super::settings::KeySettings;
use super::{LIFE, RETENTION, claim, core, issue, reply, secs};
use crate::base::code::Code;
use crate::base::name::Incarnation;
use rstest::rstest;

#[test]
fn begin_once_then_repeat() {
    let mut core = core();
    let key = issue(&mut core, secs(1));
    assert_eq!(core.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Run);
    assert_eq!(core.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Wait);
    core.finish(&key, RunOutcome::Completed(reply("ok")), secs(3));
    assert_eq!(core.begin(&key, &claim(b"a"), secs(70)), BeginDecision::Replay(reply("ok")));
}

#[test]
fn begin_other_body() {
    let mut core = core();
    let key = issue(&mut core, secs(1));
    assert_eq!(core.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Run);
    let clash = BeginDecision::Refused(codes::KEY_BODY_CLASH);
    assert_eq!(core.begin(&key, &claim(b"b"), secs(2)), clash);
    core.finish(&key, RunOutcome::Completed(reply("ok")), secs(3));
    assert_eq!(core.begin(&key, &claim(b"b"), secs(4)), clash);
}

#[rstest]
#[case::workspace(Claim { workspace: "south".into(), ..claim(b"a") }, codes::KEY_WORKSPACE)]
#[case::service(Claim { service: "desk".into(), ..claim(b"a") }, codes::KEY_SERVICE)]
fn begin_not_bound_to_caller(#[case] claim: Claim, #[case] expected: Code) {
    let mut core = core();
    let key = issue(&mut core, secs(1));
    assert_eq!(core.begin(&key, &claim, secs(2)), BeginDecision::Refused(expected));
    assert!(core.is_empty());
}

#[rstest]
#[case::incarnation("ledger-1", 8, codes::KEY_INCARNATION_GONE)]
#[case::upstream("ledger-2", 7, codes::KEY_ELSEWHERE)]
#[case::never_issued("ledger-1", 7, codes::KEY_UNISSUED)]
fn begin_other_agent(#[case] upstream: &str, #[case] run: u64, #[case] expected: Code) {
    let key = issue(&mut core(), secs(1));
    let mut other = KeyTable::new(upstream.into(), Incarnation(run), super::settings());
    assert_eq!(other.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Refused(expected));
    assert_eq!(other.lookup(&key, &"north".into(), secs(2)), Lookup::Status(expected));
}

#[rstest]
#[case::in_time(LIFE, None)]
#[case::expired(LIFE + secs(1), Some(codes::KEY_EXPIRED))]
#[case::last_kept(LIFE + RETENTION, Some(codes::KEY_EXPIRED))]
#[case::forgotten(LIFE + RETENTION + secs(1), Some(codes::KEY_FORGOTTEN))]
fn begin_by_age(#[case] now: std::time::Duration, #[case] refusal: Option<Code>) {
    let mut core = core();
    let key = issue(&mut core, secs(1));
    let expected = refusal.map_or(BeginDecision::Run, BeginDecision::Refused);
    assert_eq!(core.begin(&key, &claim(b"a"), now), expected);
}

#[test]
fn lookup_done_past_retention() {
    let mut core = core();
    let key = issue(&mut core, secs(1));
    assert_eq!(core.begin(&key, &claim(b"a"), secs(60)), BeginDecision::Run);
    core.finish(&key, RunOutcome::Completed(reply("ok")), secs(90));
    let told = |core: &mut KeyTable, now| core.lookup(&key, &"north".into(), secs(now));
    assert_eq!(told(&mut core, 129), Lookup::Completed(reply("ok")));
    assert_eq!(told(&mut core, 130), Lookup::Status(codes::KEY_FORGOTTEN));
    assert!(core.is_empty() && core.reply_bytes() == 0);
}

#[test]
fn lookup_reply_dropped_by_size() {
    let mut core = core();
    let keys: Vec<_> = (0..3).map(|_| issue(&mut core, secs(1))).collect();
    for key in &keys {
        assert_eq!(core.begin(key, &claim(b"a"), secs(2)), BeginDecision::Run);
        core.finish(key, RunOutcome::Completed(reply(&"x".repeat(40))), secs(2));
    }
    let dropped = BeginDecision::Refused(codes::KEY_REPLY_DROPPED);
    assert_eq!(core.begin(&keys[0], &claim(b"a"), secs(3)), dropped);
    assert!(matches!(core.begin(&keys[2], &claim(b"a"), secs(3)), BeginDecision::Replay(_)));
    assert_eq!(core.reply_bytes(), 80);
}

#[test]
fn revoke_before_start() {
    let mut core = core();
    let key = issue(&mut core, secs(1));
    let told = core.revoke(&key, &"north".into(), secs(2));
    assert_eq!(told, Lookup::Status(codes::KEY_REVOKED));
    let refused = BeginDecision::Refused(codes::KEY_REVOKED);
    assert_eq!(core.begin(&key, &claim(b"a"), secs(3)), refused);
}

#[test]
fn revoke_after_start() {
    let mut core = core();
    let key = issue(&mut core, secs(1));
    assert_eq!(core.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Run);
    let told = core.revoke(&key, &"north".into(), secs(2));
    assert_eq!(told, Lookup::Status(codes::KEY_STARTED));
    core.finish(&key, RunOutcome::Unknown(codes::RUN_ABANDONED), secs(3));
    let told = core.revoke(&key, &"north".into(), secs(4));
    assert_eq!(told, Lookup::Status(codes::RUN_ABANDONED));
}

#[test]
fn begin_closed_stays_refused() {
    let mut core = core();
    let key = issue(&mut core, secs(1));
    core.close(codes::KEYS_FULL);
    let refused = BeginDecision::Refused(codes::KEYS_FULL);
    assert_eq!(core.begin(&key, &claim(b"a"), secs(2)), refused);
    core.reopen();
    assert_eq!(core.begin(&key, &claim(b"a"), secs(3)), refused, "a delayed copy must not run");
}

#[test]
fn begin_late_stays_refused() {
    let mut core = core();
    let key = issue(&mut core, secs(1));
    let late = Claim { deadline: secs(2), ..claim(b"a") };
    let refused = BeginDecision::Refused(codes::KEY_DEADLINE);
    assert_eq!(core.begin(&key, &late, secs(2)), refused);
    assert_eq!(core.begin(&key, &claim(b"a"), secs(3)), refused);
}

#[test]
fn issue_bounded_without_memory() {
    let mut core = core();
    for _ in 0..10 {
        core.issue(100, &"north".into(), &"ledger".into(), secs(1)).unwrap();
    }
    assert!(core.is_empty());
    let full = core.issue(1, &"north".into(), &"ledger".into(), secs(100));
    assert_eq!(full, Err(codes::KEYS_FULL));
    core.issue(1, &"north".into(), &"ledger".into(), secs(102)).unwrap();
}

#[test]
fn issue_bounded_by_workspace() {
    let settings = KeySettings { workspace_max: 2, ..super::settings() };
    let mut core = KeyTable::new("ledger-1".into(), Incarnation(7), settings);
    let mut ask = |name: &str, now| core.issue(2, &name.into(), &"ledger".into(), secs(now)).err();
    assert_eq!(ask("north", 1), None);
    assert_eq!(ask("north", 2), Some(codes::KEYS_WORKSPACE_FULL));
    assert_eq!(ask("south", 2), None);
    assert_eq!(ask("north", 102), None, "the first two have left the window");
}

#[test]
#[should_panic(expected = "P1232")]
fn finish_twice() {
    let mut core = core();
    let key = issue(&mut core, secs(1));
    assert_eq!(core.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Run);
    core.finish(&key, RunOutcome::Completed(reply("a")), secs(3));
    core.finish(&key, RunOutcome::Completed(reply("b")), secs(3));
}

#[test]
#[should_panic(expected = "P1231")]
fn finish_not_run_with_doubtful_code() {
    let mut core = core();
    let key = issue(&mut core, secs(1));
    assert_eq!(core.begin(&key, &claim(b"a"), secs(2)), BeginDecision::Run);
    core.finish(&key, RunOutcome::NotRun(codes::RUN_ABANDONED), secs(3));
}
