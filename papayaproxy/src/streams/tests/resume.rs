//! Tests of stream recovery.

use super::super::codes;
use super::super::progress::Progress;
use super::super::resume::{BreakCause, ModelRef, Recovery, RecoveryPlan, Replica};
use super::super::splitter::{EngineEvent, TextPiece};
use crate::base::code::Code;
use crate::membership::LoadedModel;
use rstest::rstest;
use std::time::Duration;

const REMAINING: Duration = Duration::from_secs(5);

fn loaded(version: u32, adapter: &str) -> Vec<LoadedModel> {
    vec![LoadedModel { model: "pear".into(), version, adapters: vec![adapter.into()] }]
}

fn recovery(is_idempotent: bool) -> Recovery {
    let model = ModelRef { model: "pear".into(), version: 3, adapter: Some("cellar".into()) };
    Recovery::new(model, is_idempotent, "a-1".into())
}

fn progress(pieces: u64) -> Progress {
    let mut progress = Progress::default();
    for index in 0..pieces {
        let piece = TextPiece { index, text: "x".into() };
        progress.accept(&EngineEvent::Piece(piece)).unwrap();
    }
    progress
}

fn replica(name: &str, is_open: bool, loaded: &[LoadedModel]) -> Replica {
    Replica { upstream: name.into(), is_open, loaded: loaded.to_vec() }
}

#[test]
fn plan_lost_then_continue() {
    let matching = loaded(3, "cellar");
    let replicas = [replica("a-1", true, &matching), replica("a-2", true, &matching)];
    let mut recovery = recovery(true);
    let mut plan = |pieces| {
        recovery.plan(BreakCause::Lost, &progress(pieces), REMAINING, || replicas.to_vec())
    };
    assert_eq!(plan(2), RecoveryPlan::Resume { from: 2 });
    assert_eq!(plan(2), RecoveryPlan::Resume { from: 2 });
    assert_eq!(plan(4), RecoveryPlan::Resume { from: 4 }, "new pieces arrived in between");
    assert_eq!(plan(4), RecoveryPlan::Resume { from: 4 });
    assert_eq!(plan(4), RecoveryPlan::Continue { upstream: "a-2".into(), from: 4 });
    assert_eq!(plan(4), RecoveryPlan::Resume { from: 4 }, "now on the other replica");
}

#[rstest]
#[case::other_version(loaded(2, "cellar"), true)]
#[case::other_adapter(loaded(3, "desk"), true)]
#[case::closed(loaded(3, "cellar"), false)]
fn plan_unsuitable_replica(#[case] loaded: Vec<LoadedModel>, #[case] is_open: bool) {
    let replicas = [replica("a-2", is_open, &loaded)];
    let plan = recovery(true).plan(BreakCause::Gone, &progress(1), REMAINING, || replicas.to_vec());
    assert_eq!(plan, RecoveryPlan::Fail(codes::REPLICA_MISSING));
}

#[rstest]
#[case::gone(BreakCause::Gone, REMAINING, codes::CONTINUATION_BARRED)]
#[case::no_time(BreakCause::Lost, Duration::from_millis(1), codes::TIME_SPENT)]
fn plan_fails(#[case] cause: BreakCause, #[case] remaining: Duration, #[case] expected: Code) {
    let matching = loaded(3, "cellar");
    let replicas = [replica("a-2", true, &matching)];
    let plan = recovery(false).plan(cause, &progress(1), remaining, || replicas.to_vec());
    assert_eq!(plan, RecoveryPlan::Fail(expected));
}

#[test]
fn plan_moved_skips_current_upstream() {
    let matching = loaded(3, "cellar");
    let replicas = [replica("a-1", true, &matching), replica("a-2", true, &matching)];
    let plan =
        recovery(true).plan(BreakCause::Moved, &progress(7), REMAINING, || replicas.to_vec());
    assert_eq!(plan, RecoveryPlan::Continue { upstream: "a-2".into(), from: 7 });
}

#[test]
fn plan_continuations_bounded() {
    let matching = loaded(3, "cellar");
    let replicas = [replica("a-1", true, &matching), replica("a-2", true, &matching)];
    let mut recovery = recovery(true);
    let mut plan =
        || recovery.plan(BreakCause::Gone, &progress(1), REMAINING, || replicas.to_vec());
    let plans: Vec<_> = (0..5).map(|_| plan()).collect();
    assert!(plans[..4].iter().all(|p| matches!(p, RecoveryPlan::Continue { .. })));
    assert_eq!(plans[4], RecoveryPlan::Fail(codes::RESUMES_SPENT));
}
