//! Record of the decisions on further attempts.

use super::handover::open_pair;
use super::stand_ins::{
    Action, FakeServer, NOT_EXECUTED, ReceivedRequest, TestGateway, on_one_thread, reply,
};
use super::streams::whole_answer;
use crate::balance::Arrivals;
use crate::balance::budget::{Budget, BudgetRule};
use crate::gateway::meters::Meters;
use crate::gateway::repeats::record;
use crate::telemetry::Metrics;
use rstest::rstest;
use std::time::Duration;

/// Guards against retries that stop counting while an attempt of their request may still arrive, and
/// against retries that count on although all attempts have shown that they arrived.
#[rstest]
#[case::answered("answered", 0)]
#[case::refused("refused", 0)]
#[case::failed("failed", 0)]
#[case::closed("closed", 0)]
#[case::silent("silent", 1)]
#[case::copy("copy", 1)]
fn take_first_attempt_settled(#[case] first: &'static str, #[case] outstanding: usize) {
    on_one_thread(async move {
        let first = move |r: &ReceivedRequest| match first {
            "answered" => whole_answer(r),
            "refused" => vec![Action::Send(NOT_EXECUTED.to_owned())],
            "failed" => vec![Action::Send(reply(r, "500 Broken", "why"))],
            "closed" => vec![Action::Close],
            // An answer to another request shows nothing of this one.
            "copy" => vec![Action::Send(reply(r, "500 Broken", "why").replace("r1", "r0"))],
            _ => vec![Action::Wait(Duration::from_secs(20))],
        };
        let (gateway, _replicas) = open_pair(first, whole_answer, "90").await;
        let answer = gateway.call("POST", "/stream/x", "").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(gateway.outstanding_retries(), outstanding);
    });
}

/// Guards against retries that are held against the budget although they were never sent.
#[test]
fn take_never_sent_given_back() {
    on_one_thread(async move {
        let closes = |_: &ReceivedRequest| vec![Action::Close];
        let replica = FakeServer::bind(closes).await;
        let gateway = TestGateway::open_budget(&[&replica], "90").await;
        let answer = gateway.call("POST", "/stream/x", "").await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert_eq!(gateway.outstanding_retries(), 0);
    });
}

/// Without them, nobody can tell from outside how many repeats the budget lets through.
#[test]
fn record_counted_by_service_and_result() {
    let metrics = Metrics::open().unwrap();
    let meters = Meters::new(&metrics);
    let window = Duration::from_secs(10);
    let mut budget = Budget::new(BudgetRule { ratio: 0.2, slack: 0.0, window, is_first: false });
    (0..25).for_each(|_| budget.count_request(Duration::ZERO, window));
    let mut decide = || {
        let decision = budget.try_take(&mut Arrivals::default(), Some(8), window);
        record(&meters, "r1", "plain", Some(decision))
    };
    assert_eq!([decide(), decide(), decide(), decide(), decide()], [true, true, true, true, false]);
    assert!(!record(&meters, "r2", "gone", None), "a service that has left is not retried");
    let text = String::from_utf8(metrics.render()).unwrap();
    for (service, result, count) in
        [("plain", "granted", 4), ("plain", "denied", 1), ("gone", "denied", 1)]
    {
        let is_line = |l: &&str| {
            l.starts_with("papaya_gateway_repeats_total{")
                && l.contains(&format!("service=\"{service}\""))
                && l.contains(&format!("result=\"{result}\""))
        };
        let line = text.lines().find(is_line).unwrap_or_else(|| panic!("{text}"));
        assert!(line.ends_with(&format!(" {count}")), "{line}");
    }
}
