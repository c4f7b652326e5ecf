//! The demo in short, and its verdict.

use super::stage::{DemoSettings, run_demo};
use super::stop::StopReport;
use super::summary::Summary;
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
    };
    let summary = run_demo(&settings, |_| {}).await.unwrap();
    assert!(summary.failures().is_empty(), "{summary}");
    assert_eq!(summary.stops.len(), 2);
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
    Summary { load, places: Vec::new(), stops: vec![stop], repeated: 0 }
}

#[rstest]
#[case::not_completed(|s: &mut Summary| s.load.sent = 6)]
#[case::skipped(|s: &mut Summary| s.load.skipped = 1)]
#[case::twice(|s: &mut Summary| s.repeated = 1)]
#[case::late(|s: &mut Summary| s.stops[0].late = 1)]
#[case::not_drained(|s: &mut Summary| s.stops[0].drained = None)]
#[case::no_stop(|s: &mut Summary| s.stops.clear())]
fn failures_found(#[case] spoil: fn(&mut Summary)) {
    let mut spoiled = summary();
    assert!(spoiled.failures().is_empty());
    spoil(&mut spoiled);
    assert_eq!(spoiled.failures().len(), 1, "{spoiled}");
}
