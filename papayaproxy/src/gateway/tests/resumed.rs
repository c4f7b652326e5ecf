//! Streams that go on at another replica long after their request arrived, or after a client's own
//! break.

use super::handover::open_pair;
use super::stand_ins::{Action, FakeServer, ReceivedRequest, TestGateway, on_one_thread, send_to};
use super::streams::{EVENTS, chunk, event, event_ids, head, whole_answer};
use std::time::Duration;

/// Two of them are longer than a caller waits for the first event.
const PAUSE: Duration = Duration::from_millis(1050);

fn request(id: &str) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Key: k1\r\n\
         X-Request-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n"
    )
}

/// A request `held` keeps its replica busy; another stream breaks off after two slow events.
fn answer(request: &ReceivedRequest) -> Vec<Action> {
    let begin = [Action::Send(head(request)), Action::Send(chunk(&event(1)))];
    let rest = match (request.header("x-request-id"), request.header("last-event-id")) {
        (Some("held"), _) => vec![Action::Wait(Duration::from_secs(4)), Action::Close],
        (_, None) => vec![
            Action::Wait(PAUSE),
            Action::Send(chunk(&event(2))),
            Action::Wait(PAUSE),
            Action::Close,
        ],
        (_, Some(_)) => return whole_answer(request),
    };
    begin.into_iter().chain(rest).collect()
}

/// A stream that breaks off 2 s after its request must go on at a replica that has room, though that
/// one isn't idle. The time to the first event counted from the request, so it was cut.
#[test]
fn call_stream_old_resumed_at_busy_replica() {
    on_one_thread(async {
        let replicas = [FakeServer::bind(answer).await, FakeServer::bind(answer).await];
        let gateway = TestGateway::open(&[&replicas[0], &replicas[1]]).await;
        let held = request("held");
        let address = gateway.address();
        tokio::task::spawn_local(async move { send_to(address, &held).await });
        while replicas.iter().all(|r| r.received.borrow().is_empty()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let answer = gateway.send(&request("old")).await;
        assert_eq!(event_ids(&answer), (1..=EVENTS).collect::<Vec<_>>(), "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    });
}

/// A client goes on with its stream after event 2. Its replica is silent, and the other one begins
/// anew: what the client has must not come twice.
#[test]
fn call_stream_resumed_by_client_moved_without_repeats() {
    on_one_thread(async {
        let silent = |_: &ReceivedRequest| vec![Action::Wait(Duration::from_secs(3))];
        let anew = |request: &ReceivedRequest| {
            let events = (1..=EVENTS).map(|id| Action::Send(chunk(&event(id))));
            let end = Action::Send("0\r\n\r\n".into());
            [Action::Send(head(request))].into_iter().chain(events).chain([end]).collect()
        };
        let (gateway, _replicas) = open_pair(silent, anew, "92").await;
        let answer = gateway.call("POST", "/stream/x", "Last-Event-Id: 2\r\n").await;
        assert_eq!(event_ids(&answer), (3..=EVENTS).collect::<Vec<_>>(), "{answer}");
    });
}
