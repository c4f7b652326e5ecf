//! Tests of metrics and status.

use super::gauges;
use super::metrics::Metrics;
use super::ops::StatusSource;
use super::status::Status;
use rstest::rstest;
use std::sync::Arc;

#[test]
fn metrics_render_counter() {
    let metrics = Metrics::open().unwrap();
    metrics.meter().u64_counter("papaya_test").build().add(3, &[]);
    let text = String::from_utf8(metrics.render()).unwrap();
    let line = "papaya_test_total{otel_scope_name=\"papayaproxy\"} 3";
    assert!(text.contains(line), "{text}");
}

#[test]
fn gauges_follow_status() {
    let metrics = Metrics::open().unwrap();
    let status = Status { generation: 7, ready: true, ..Status::default() };
    let source: StatusSource = Arc::new(move || status.clone());
    gauges::register(&metrics, &source);
    let text = String::from_utf8(metrics.render()).unwrap();
    assert!(text.contains("papaya_generation{otel_scope_name=\"papayaproxy\"} 7"), "{text}");
    assert!(text.contains("papaya_ready{otel_scope_name=\"papayaproxy\"} 1"), "{text}");
}

#[rstest]
#[case::serving(false, 0, false)]
#[case::busy(true, 2, false)]
#[case::done(true, 0, true)]
fn status_drained(#[case] leaving: bool, #[case] calls: u64, #[case] expected: bool) {
    let status = Status { leaving, calls, ..Status::default() };
    assert_eq!(status.is_drained(), expected);
}
