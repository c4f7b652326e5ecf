//! Replicas that send a refusal once more on a kept connection.

use super::stand_ins::{Action, FakeServer, ReceivedRequest, TestGateway, on_one_thread, reply};
use rstest::rstest;
use std::cell::Cell;
use std::time::Duration;

/// Time until the second copy, in which the next request is sent.
const COPY_DELAY: Duration = Duration::from_millis(700);

fn refusal(request: &ReceivedRequest, status: &str, with_id: bool) -> String {
    let id = request.header("x-request-id").filter(|_| with_id);
    let id = id.map(|id| format!("X-Request-Id: {id}\r\n")).unwrap_or_default();
    format!("HTTP/1.1 {status}\r\n{id}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

fn post(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Key: k1\r\n\
         X-Request-Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// The first request is refused twice; `cut` bytes of the copy are sent with the first refusal. Each
/// later request runs. The answer to the second one, `second`, must not say that it didn't run, and it
/// runs once.
#[rstest]
#[case::late("503 Busy", true, "q2", 0)]
#[case::late_too_many("429 Busy", true, "q2", 0)]
#[case::late_misdirected("421 Other", true, "q2", 0)]
#[case::late_invalid("400 Invalid", true, "q2", 0)]
#[case::late_without_id("503 Busy", false, "q2", 0)]
#[case::late_invalid_without_id("400 Invalid", false, "q2", 0)]
#[case::halves("503 Busy", true, "q2", 20)]
#[case::halves_without_id("503 Busy", false, "q2", 20)]
#[case::one_segment("503 Busy", true, "q2", usize::MAX)]
#[case::one_segment_without_id("503 Busy", false, "q2", usize::MAX)]
#[case::same_id("503 Busy", true, "q1", 0)]
#[case::same_id_halves("503 Busy", true, "q1", 20)]
#[case::same_id_misdirected("421 Other", true, "q1", 0)]
fn call_refused_twice_not_taken(
    #[case] status: &'static str,
    #[case] with_id: bool,
    #[case] second: &str,
    #[case] cut: usize,
    #[values("/once/x", "/safe/x", "/stream/x")] path: &str,
) {
    let second = second.to_owned();
    on_one_thread(async move {
        let calls = Cell::new(0);
        let replica = FakeServer::bind(move |request| {
            calls.set(calls.get() + 1);
            if calls.get() > 1 {
                return vec![Action::Send(reply(request, "200 OK", ""))];
            }
            let text = refusal(request, status, with_id);
            let (early, late) = text.split_at(cut.min(text.len()));
            let first = Action::Send(format!("{text}{early}"));
            vec![first, Action::Wait(COPY_DELAY), Action::Send(late.to_owned())]
        })
        .await;
        let gateway = TestGateway::open(&[&replica]).await;
        let first = gateway.send(&post(path, "q1")).await;
        assert!(first.starts_with("HTTP/1.1 503"), "{first}");
        let run = || {
            let received = replica.received.borrow();
            received.iter().skip(1).filter(|r| r.header("x-request-id") == Some(&second)).count()
        };
        let mut answer = gateway.send(&post(path, &second)).await;
        while run() == 0 {
            // Truly not sent: the replica is not asked again at once after a refusal.
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            answer = gateway.send(&post(path, &second)).await;
        }
        assert!(!answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert_eq!(run(), 1, "{answer}");
    });
}
