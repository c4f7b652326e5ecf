//! Tests of the retry policy.

use super::super::attempt::{Attempts, CallKind, Failure, NextStep, RetryTarget};
use super::super::codes;
use super::super::constants::UNCOUNTED_MAX;
use super::secs;
use crate::wire::codes as wire;
use CallKind::{Idempotent, Keyed, NonIdempotent};
use Failure::{Lost, Refused, Unsent};
use rstest::rstest;

const ELSEWHERE: NextStep = NextStep::Retry(RetryTarget::Elsewhere);
const SAME: NextStep = NextStep::Retry(RetryTarget::Same);

#[rstest]
#[case::idempotent_unsent(Idempotent, Unsent(wire::LINK_REFUSED), ELSEWHERE)]
#[case::idempotent_lost(Idempotent, Lost(wire::LINK_CLOSED), ELSEWHERE)]
#[case::non_idempotent_unsent(NonIdempotent, Unsent(wire::LINK_REFUSED), ELSEWHERE)]
#[case::non_idempotent_refused(NonIdempotent, Refused(codes::KEYS_FULL), ELSEWHERE)]
#[case::non_idempotent_lost(
    NonIdempotent,
    Lost(wire::LINK_CLOSED),
    NextStep::Answer(wire::LINK_CLOSED)
)]
#[case::non_idempotent_lost_not_reported_as_not_run(
    NonIdempotent,
    Lost(wire::LINK_REFUSED),
    NextStep::Answer(codes::OUTCOME_LOST)
)]
#[case::non_idempotent_refused_unknown(
    NonIdempotent,
    Refused(codes::RUN_ABANDONED),
    NextStep::Answer(codes::RUN_ABANDONED)
)]
#[case::keyed_unsent(Keyed, Unsent(wire::LINK_REFUSED), SAME)]
#[case::keyed_lost(Keyed, Lost(wire::LINK_CLOSED), SAME)]
#[case::keyed_refused(Keyed, Refused(codes::KEY_EXPIRED), NextStep::Answer(codes::KEY_EXPIRED))]
fn on_failure_first(#[case] kind: CallKind, #[case] failure: Failure, #[case] expected: NextStep) {
    let mut attempts = Attempts::new(kind, secs(10));
    attempts.start(secs(1)).unwrap();
    assert_eq!(attempts.on_failure(failure, secs(2), || true), expected);
}

#[rstest]
#[case::idempotent(Idempotent, Refused(codes::KEYS_FULL), codes::BUDGET_SPENT)]
#[case::idempotent_lost(Idempotent, Lost(wire::LINK_CLOSED), wire::LINK_CLOSED)]
#[case::keyed(Keyed, Lost(wire::LINK_REFUSED), codes::KEY_HOME_UNREACHABLE)]
fn on_failure_without_budget(
    #[case] kind: CallKind,
    #[case] failure: Failure,
    #[case] expected: crate::Code,
) {
    let mut attempts = Attempts::new(kind, secs(10));
    attempts.start(secs(1)).unwrap();
    assert_eq!(attempts.on_failure(failure, secs(2), || false), NextStep::Answer(expected));
}

#[test]
fn on_failure_unsent_limit() {
    let mut attempts = Attempts::new(Idempotent, secs(10));
    for attempt in 1..=UNCOUNTED_MAX {
        attempts.start(secs(1)).unwrap();
        let next = attempts.on_failure(Unsent(wire::LINK_REFUSED), secs(1), || false);
        let expected =
            if attempt < UNCOUNTED_MAX { ELSEWHERE } else { NextStep::Answer(wire::LINK_REFUSED) };
        assert_eq!(next, expected, "attempt {attempt}");
    }
}

/// A refusal because the upstream is leaving needs no retry budget: no work was done.
#[rstest]
#[case::idempotent(Idempotent)]
#[case::non_idempotent(NonIdempotent)]
fn on_failure_leaving_without_budget(#[case] kind: CallKind) {
    let mut attempts = Attempts::new(kind, secs(10));
    attempts.start(secs(1)).unwrap();
    let refused = Refused(crate::drain::codes::PROCESS_STOPPING);
    assert_eq!(attempts.on_failure(refused, secs(2), || false), ELSEWHERE);
}

#[test]
fn on_failure_attempts_limit() {
    let mut attempts = Attempts::new(Idempotent, secs(10));
    let fail = |attempts: &mut Attempts, failure| {
        attempts.start(secs(1)).unwrap();
        attempts.on_failure(failure, secs(1), || true)
    };
    assert_eq!(fail(&mut attempts, Lost(wire::LINK_CLOSED)), ELSEWHERE);
    assert_eq!(fail(&mut attempts, Refused(codes::KEYS_FULL)), ELSEWHERE);
    let last = fail(&mut attempts, Refused(codes::KEYS_FULL));
    assert_eq!(last, NextStep::Answer(codes::OUTCOME_LOST), "the first attempt may have run");
}

#[rstest]
#[case::not_sent(NonIdempotent, false, codes::DEADLINE_BEFORE_SEND)]
#[case::written(NonIdempotent, true, codes::DEADLINE_AFTER_SEND)]
#[case::keyed(Keyed, false, codes::DEADLINE_AFTER_SEND)]
fn start_past_deadline(
    #[case] kind: CallKind,
    #[case] is_written: bool,
    #[case] expected: crate::Code,
) {
    let mut attempts = Attempts::new(kind, secs(10));
    if is_written {
        attempts.start(secs(1)).unwrap();
        attempts.mark_written();
    }
    assert_eq!(attempts.start(secs(11)), Err(expected));
}

#[test]
fn on_failure_refused_at_deadline() {
    let mut attempts = Attempts::new(NonIdempotent, secs(10));
    attempts.start(secs(1)).unwrap();
    attempts.mark_written();
    let next = attempts.on_failure(Refused(codes::KEYS_FULL), secs(10), || true);
    assert_eq!(next, NextStep::Answer(codes::DEADLINE_BEFORE_SEND));
}
