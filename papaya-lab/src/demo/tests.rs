//! The demo in short, and its verdict.

use super::stage::{DemoSettings, run_demo};
use super::stop::StopReport;
use super::summary::{Place, Summary};
use crate::load::Report;
use rstest::rstest;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn demo_cuts_nothing() {
    let settings = DemoSettings {
        rate: 40.0,
        duration: Duration::from_secs(2),
        stop_after: Duration::from_millis(500),
        tokens: 12,
        kills: false,
    };
    let summary = run_demo(&settings, |_| {}).await.unwrap();
    assert!(summary.failures().is_empty(), "{summary}");
    assert_eq!(summary.stops.len(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn demo_kill_answers_truly() {
    let settings = DemoSettings {
        rate: 40.0,
        duration: Duration::from_secs(2),
        stop_after: Duration::from_millis(700),
        tokens: 24,
        kills: true,
    };
    let summary = run_demo(&settings, |_| {}).await.unwrap();
    assert!(summary.failures().is_empty(), "{summary}");
    let stated = ["completed", "not-run", "unknown"].map(|o| summary.load.outcome(o));
    assert_eq!(stated.iter().sum::<u64>(), summary.load.sent, "{summary}");
}

fn summary() -> Summary {
    let stop = StopReport {
        upstream: "u".into(),
        active: 1,
        last_call: Duration::ZERO,
        drained: Some(Duration::ZERO),
        late: 0,
    };
    let outcomes = [("completed".to_owned(), 5)].into_iter().collect();
    let load = Report { sent: 5, outcomes, ..Report::default() };
    let place =
        Place { upstream: "u".into(), zone: "z".into(), taken: 5, continued: 1, prior_wrong: 0 };
    Summary { load, places: vec![place], stops: vec![stop], killed: false, repeated: 0, lied: 0 }
}

#[rstest]
#[case::not_completed(|s: &mut Summary| s.load.sent = 6)]
#[case::skipped(|s: &mut Summary| s.load.skipped = 1)]
#[case::twice(|s: &mut Summary| s.repeated = 1)]
#[case::foreign_prior(|s: &mut Summary| s.places[0].prior_wrong = 1)]
#[case::lied(|s: &mut Summary| s.lied = 1)]
#[case::late(|s: &mut Summary| s.stops[0].late = 1)]
#[case::not_drained(|s: &mut Summary| s.stops[0].drained = None)]
#[case::no_stop(|s: &mut Summary| s.stops.clear())]
fn failures_found(#[case] spoil: fn(&mut Summary)) {
    let mut spoiled = summary();
    assert!(spoiled.failures().is_empty());
    spoil(&mut spoiled);
    assert_eq!(spoiled.failures().len(), 1, "{spoiled}");
}
