//! Tests of what follows a broken stream.

use super::super::codes;
use super::super::progress::Progress;
use super::super::resume::{BreakCause, ModelRef, Recovery, RecoveryPlan, Replica};
use super::super::splitter::{EngineEvent, TextPiece};
use crate::base::code::Code;
use crate::membership::LoadedModel;
use rstest::rstest;
use std::time::Duration;

const LEFT: Duration = Duration::from_secs(5);

fn loaded(version: u32, adapter: &str) -> Vec<LoadedModel> {
    vec![LoadedModel { model: "pear".into(), version, adapters: vec![adapter.into()] }]
}

fn resumes(idempotent: bool) -> Recovery {
    let model = ModelRef { model: "pear".into(), version: 3, adapter: Some("cellar".into()) };
    Recovery::new(model, idempotent, "a-1".into())
}

fn progress(pieces: u64) -> Progress {
    let mut progress = Progress::default();
    for index in 0..pieces {
        let piece = TextPiece { index, text: "x".into() };
        progress.accept(&EngineEvent::Piece(piece)).unwrap();
    }
    progress
}

fn replica(name: &str, open: bool, loaded: &[LoadedModel]) -> Replica {
    Replica { upstream: name.into(), is_open: open, loaded: loaded.to_vec() }
}

#[test]
fn plan_lost_then_elsewhere() {
    let fit = loaded(3, "cellar");
    let replicas = [replica("a-1", true, &fit), replica("a-2", true, &fit)];
    let mut resumes = resumes(true);
    let mut plan =
        |pieces| resumes.plan(BreakCause::Lost, &progress(pieces), LEFT, || replicas.to_vec());
    assert_eq!(plan(2), RecoveryPlan::Resume { from: 2 });
    assert_eq!(plan(2), RecoveryPlan::Resume { from: 2 });
    assert_eq!(plan(4), RecoveryPlan::Resume { from: 4 }, "new pieces came in between");
    assert_eq!(plan(4), RecoveryPlan::Resume { from: 4 });
    assert_eq!(plan(4), RecoveryPlan::Continue { upstream: "a-2".into(), from: 4 });
    assert_eq!(plan(4), RecoveryPlan::Resume { from: 4 }, "now at the other replica");
}

#[rstest]
#[case::other_version(loaded(2, "cellar"), true)]
#[case::other_adapter(loaded(3, "desk"), true)]
#[case::closed(loaded(3, "cellar"), false)]
fn plan_unfit_replica(#[case] has: Vec<LoadedModel>, #[case] open: bool) {
    let replicas = [replica("a-2", open, &has)];
    let plan = resumes(true).plan(BreakCause::Gone, &progress(1), LEFT, || replicas.to_vec());
    assert_eq!(plan, RecoveryPlan::Fail(codes::REPLICA_MISSING));
}

#[rstest]
#[case::gone(BreakCause::Gone, LEFT, codes::CONTINUATION_BARRED)]
#[case::no_time(BreakCause::Lost, Duration::from_millis(1), codes::TIME_SPENT)]
fn plan_fails(#[case] cause: BreakCause, #[case] left: Duration, #[case] expected: Code) {
    let fit = loaded(3, "cellar");
    let replicas = [replica("a-2", true, &fit)];
    let plan = resumes(false).plan(cause, &progress(1), left, || replicas.to_vec());
    assert_eq!(plan, RecoveryPlan::Fail(expected));
}

#[test]
fn plan_moved_skips_own_engine() {
    let fit = loaded(3, "cellar");
    let replicas = [replica("a-1", true, &fit), replica("a-2", true, &fit)];
    let plan = resumes(true).plan(BreakCause::Moved, &progress(7), LEFT, || replicas.to_vec());
    assert_eq!(plan, RecoveryPlan::Continue { upstream: "a-2".into(), from: 7 });
}

#[test]
fn plan_breaks_bounded() {
    let fit = loaded(3, "cellar");
    let replicas = [replica("a-1", true, &fit), replica("a-2", true, &fit)];
    let mut resumes = resumes(true);
    let mut plan = || resumes.plan(BreakCause::Gone, &progress(1), LEFT, || replicas.to_vec());
    let plans: Vec<_> = (0..5).map(|_| plan()).collect();
    assert!(plans[..4].iter().all(|p| matches!(p, RecoveryPlan::Continue { .. })));
    assert_eq!(plans[4], RecoveryPlan::Fail(codes::RESUMES_SPENT));
}
