//! Tests of what follows a failed attempt.

use super::super::attempt::{Attempts, CallKind, Failure, Next, Place};
use super::super::codes;
use super::super::constants::UNSENT_MAX;
use super::secs;
use crate::wire::codes as wire;
use CallKind::{Idempotent, Keyed, Single};
use Failure::{Lost, Refused, Unsent};
use rstest::rstest;

const ELSEWHERE: Next = Next::Retry(Place::Elsewhere);
const SAME: Next = Next::Retry(Place::Same);

#[rstest]
#[case::idempotent_unsent(Idempotent, Unsent(wire::LINK_REFUSED), ELSEWHERE)]
#[case::idempotent_lost(Idempotent, Lost(wire::LINK_CLOSED), ELSEWHERE)]
#[case::single_unsent(Single, Unsent(wire::LINK_REFUSED), ELSEWHERE)]
#[case::single_refused(Single, Refused(codes::KEYS_FULL), ELSEWHERE)]
#[case::single_lost(Single, Lost(wire::LINK_CLOSED), Next::Answer(wire::LINK_CLOSED))]
#[case::single_lost_not_softened(
    Single,
    Lost(wire::LINK_REFUSED),
    Next::Answer(codes::OUTCOME_LOST)
)]
#[case::single_doubtful(Single, Refused(codes::RUN_ABANDONED), Next::Answer(codes::RUN_ABANDONED))]
#[case::keyed_unsent(Keyed, Unsent(wire::LINK_REFUSED), SAME)]
#[case::keyed_lost(Keyed, Lost(wire::LINK_CLOSED), SAME)]
#[case::keyed_refused(Keyed, Refused(codes::KEY_EXPIRED), Next::Answer(codes::KEY_EXPIRED))]
fn failed_first(#[case] kind: CallKind, #[case] failure: Failure, #[case] expected: Next) {
    let mut attempts = Attempts::new(kind, secs(10));
    attempts.open(secs(1)).unwrap();
    assert_eq!(attempts.failed(failure, secs(2), || true), expected);
}

#[rstest]
#[case::idempotent(Idempotent, Refused(codes::KEYS_FULL), codes::BUDGET_SPENT)]
#[case::idempotent_lost(Idempotent, Lost(wire::LINK_CLOSED), wire::LINK_CLOSED)]
#[case::keyed(Keyed, Lost(wire::LINK_REFUSED), codes::KEY_HOME_UNREACHABLE)]
fn failed_without_budget(
    #[case] kind: CallKind,
    #[case] failure: Failure,
    #[case] expected: crate::Code,
) {
    let mut attempts = Attempts::new(kind, secs(10));
    attempts.open(secs(1)).unwrap();
    assert_eq!(attempts.failed(failure, secs(2), || false), Next::Answer(expected));
}

#[test]
fn failed_unsent_spent() {
    let mut attempts = Attempts::new(Idempotent, secs(10));
    for made in 1..=UNSENT_MAX {
        attempts.open(secs(1)).unwrap();
        let next = attempts.failed(Unsent(wire::LINK_REFUSED), secs(1), || false);
        let expected = if made < UNSENT_MAX { ELSEWHERE } else { Next::Answer(wire::LINK_REFUSED) };
        assert_eq!(next, expected, "attempt {made}");
    }
}

/// Not a retry of work: the upstream has only said that it leaves.
#[rstest]
#[case::idempotent(Idempotent)]
#[case::single(Single)]
fn failed_leaving_without_budget(#[case] kind: CallKind) {
    let mut attempts = Attempts::new(kind, secs(10));
    attempts.open(secs(1)).unwrap();
    let refused = Refused(crate::drain::codes::PROCESS_STOPPING);
    assert_eq!(attempts.failed(refused, secs(2), || false), ELSEWHERE);
}

#[test]
fn failed_attempts_spent() {
    let mut attempts = Attempts::new(Idempotent, secs(10));
    let fail = |attempts: &mut Attempts, failure| {
        attempts.open(secs(1)).unwrap();
        attempts.failed(failure, secs(1), || true)
    };
    assert_eq!(fail(&mut attempts, Lost(wire::LINK_CLOSED)), ELSEWHERE);
    assert_eq!(fail(&mut attempts, Refused(codes::KEYS_FULL)), ELSEWHERE);
    let last = fail(&mut attempts, Refused(codes::KEYS_FULL));
    assert_eq!(last, Next::Answer(codes::OUTCOME_LOST), "the first attempt may have run");
}

#[rstest]
#[case::fresh(Single, false, codes::DEADLINE_BEFORE_SEND)]
#[case::written(Single, true, codes::DEADLINE_AFTER_SEND)]
#[case::keyed(Keyed, false, codes::DEADLINE_AFTER_SEND)]
fn deadline_told(#[case] kind: CallKind, #[case] wrote: bool, #[case] expected: crate::Code) {
    let mut attempts = Attempts::new(kind, secs(10));
    if wrote {
        attempts.open(secs(1)).unwrap();
        attempts.wrote();
    }
    assert_eq!(attempts.open(secs(11)), Err(expected));
}

#[test]
fn deadline_after_proven_refusal() {
    let mut attempts = Attempts::new(Single, secs(10));
    attempts.open(secs(1)).unwrap();
    attempts.wrote();
    let next = attempts.failed(Refused(codes::KEYS_FULL), secs(10), || true);
    assert_eq!(next, Next::Answer(codes::DEADLINE_BEFORE_SEND));
}
