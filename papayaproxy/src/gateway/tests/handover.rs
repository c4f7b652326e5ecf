//! Streams whose replica is silent for a time: kept until another replica has begun to go on.

use super::stand_ins::{
    Action, FakeServer, NOT_EXECUTED, ReceivedRequest, TestGateway, on_one_thread, reply,
};
use super::streams::{EVENTS, chunk, event, event_ids, first_missing, head, whole_answer};
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than a stream waits before it is tried elsewhere, shorter than callers wait.
const PAUSE: Duration = Duration::from_millis(1600);

fn send(text: &str) -> Action {
    Action::Send(text.to_owned())
}

/// A whole answer with a pause before event `at`; before the head if it is 0.
fn paused_answer(request: &ReceivedRequest, at: usize) -> Vec<Action> {
    let mut actions = whole_answer(request);
    actions.insert(at, Action::Wait(PAUSE));
    actions
}

/// Two replicas in one: the request is answered as `first` says by the one that gets it first, and
/// as `second` says by the other one.
pub(super) async fn open_pair(
    first: impl Fn(&ReceivedRequest) -> Vec<Action> + 'static,
    second: impl Fn(&ReceivedRequest) -> Vec<Action> + 'static,
    slack: &str,
) -> (TestGateway, [FakeServer; 2]) {
    let (count, scripts) = (Rc::new(Cell::new(0)), Rc::new((first, second)));
    let script = move |request: &ReceivedRequest| {
        count.set(count.get() + 1);
        if count.get() == 1 { scripts.0(request) } else { scripts.1(request) }
    };
    let shared = Rc::new(script);
    let (one, two) = (shared.clone(), shared);
    let replicas =
        [FakeServer::bind(move |r| one(r)).await, FakeServer::bind(move |r| two(r)).await];
    let gateway = TestGateway::open_budget(&[&replicas[0], &replicas[1]], slack).await;
    (gateway, replicas)
}

fn received(replicas: &[FakeServer; 2]) -> usize {
    replicas.iter().map(|r| r.received.borrow().len()).sum()
}

fn assert_whole(answer: &str) {
    assert_eq!(event_ids(answer), (1..=EVENTS).collect::<Vec<_>>(), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against streams that are cut, or answered 502, since their replica was silent for a while
/// and no other one could go on.
#[rstest]
fn call_stream_silent_replica_kept(
    #[values(0, 3)] at: usize,
    #[values("refused", "failed", "missing", "closed", "silent", "begun", "empty")] other: &str,
) {
    let other = other.to_owned();
    on_one_thread(async move {
        loop {
            let other = other.clone();
            let second = move |r: &ReceivedRequest| match other.as_str() {
                "refused" => vec![send(NOT_EXECUTED)],
                "failed" => vec![Action::Send(reply(r, "500 Broken", "why"))],
                "missing" => vec![Action::Send(reply(r, "404 Missing", "why"))],
                "closed" => vec![Action::Close],
                "silent" => vec![Action::Wait(Duration::from_secs(20))],
                "begun" => vec![Action::Send(head(r)), Action::Wait(Duration::from_secs(20))],
                _ => vec![Action::Send(head(r)), send("0\r\n\r\n")],
            };
            let (gateway, replicas) = open_pair(move |r| paused_answer(r, at), second, "90").await;
            assert_whole(&gateway.call("POST", "/stream/x", "").await);
            assert!(received(&replicas) <= 2, "the other replica is tried once");
            // On a busy machine the first replica may go on before the other one is tried.
            if received(&replicas) == 2 {
                break;
            }
        }
    });
}

/// Guards against streams that are cut since the budget of repeats is used up, and against attempts
/// elsewhere that the budget doesn't allow.
#[rstest]
#[case::before_head(0)]
#[case::after_events(3)]
fn call_stream_silent_budget_spent_kept(#[case] at: usize) {
    on_one_thread(async move {
        let first = move |r: &ReceivedRequest| paused_answer(r, at);
        let (gateway, replicas) = open_pair(first, whole_answer, "0").await;
        assert_whole(&gateway.call("POST", "/stream/x", "").await);
        assert_eq!(received(&replicas), 1, "no repeat is free");
    });
}

/// Guards against a second answer that goes on beside the first one: with an event twice, or with
/// one that the stale attempt was not asked for.
#[rstest]
#[case::head_late(vec![Action::Wait(Duration::from_millis(900))])]
#[case::event_late(vec![])]
fn call_stream_both_go_on_each_event_once(#[case] wait: Vec<Action>) {
    on_one_thread(async move {
        // The second replica goes on after the first one, which is silent once more.
        let first = |r: &ReceivedRequest| {
            let mut actions = paused_answer(r, 3);
            actions.insert(5, Action::Wait(PAUSE));
            actions
        };
        let second = move |r: &ReceivedRequest| {
            let mut actions = wait.clone();
            actions.push(Action::Send(head(r)));
            actions.push(Action::Wait(Duration::from_millis(900)));
            actions.extend((first_missing(r)..=EVENTS).map(|id| Action::Send(chunk(&event(id)))));
            actions.push(send("0\r\n\r\n"));
            actions
        };
        let (gateway, replicas) = open_pair(first, second, "90").await;
        assert_whole(&gateway.call("POST", "/stream/x", "").await);
        assert!(received(&replicas) <= 2, "the route allows two attempts");
    });
}

/// Guards against a stream that is cut as its silent replica breaks off while another one is asked.
#[rstest]
#[case::before_head(0)]
#[case::after_events(3)]
fn call_stream_breaks_during_attempt_resumed(#[case] at: usize) {
    on_one_thread(async move {
        let first = move |r: &ReceivedRequest| {
            let mut actions = paused_answer(r, at);
            actions.truncate(at + 1);
            actions.push(Action::Close);
            actions
        };
        let second = |r: &ReceivedRequest| {
            let mut actions = whole_answer(r);
            actions.insert(0, Action::Wait(Duration::from_millis(900)));
            actions
        };
        let (gateway, replicas) = open_pair(first, second, "90").await;
        assert_whole(&gateway.call("POST", "/stream/x", "").await);
        assert_eq!(received(&replicas), 2);
    });
}

/// Reads a request, sends `text`, and returns whether the connection is closed in time. Counts the
/// request in `asked`.
async fn is_closed_after(listener: TcpListener, text: String, asked: Rc<Cell<u32>>) -> bool {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = [0; 4096];
    let _ = stream.read(&mut bytes).await.unwrap();
    asked.set(asked.get() + 1);
    stream.write_all(text.as_bytes()).await.unwrap();
    let ended = async { while stream.read(&mut bytes).await.is_ok_and(|n| n > 0) {} };
    tokio::time::timeout(Duration::from_secs(2), ended).await.is_ok()
}

fn begin() -> String {
    head(&ReceivedRequest { head: "X-Request-Id: r1".into(), body: String::new() })
}

/// Guards against runs that go on at either replica after the caller has left.
#[test]
fn call_client_left_during_attempt_both_closed() {
    on_one_thread(async {
        let listeners = [
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        ];
        let servers = listeners.each_ref().map(|l| FakeServer::at(l.local_addr().unwrap()));
        let gateway = TestGateway::open(&[&servers[0], &servers[1]]).await;
        let asked = Rc::new(Cell::new(0));
        let ended =
            listeners.map(|l| tokio::task::spawn_local(is_closed_after(l, begin(), asked.clone())));
        let mut client = TcpStream::connect(gateway.address()).await.unwrap();
        let text = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n\
                    X-Key: k1\r\nX-Request-Deadline-Ms: 4900\r\nContent-Length: 0\r\n\r\n";
        client.write_all(text.as_bytes()).await.unwrap();
        while asked.get() < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        drop(client);
        for ended in ended {
            assert!(ended.await.unwrap(), "a run goes on");
        }
    });
}

/// Guards against a run that goes on at the other replica after the first one has gone on.
#[test]
fn call_stream_attempt_given_up_closed() {
    on_one_thread(async {
        let asked = Rc::new(Cell::new(0));
        // On a busy machine the first replica may go on before the other one is tried.
        while asked.get() == 0 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let other = FakeServer::at(listener.local_addr().unwrap());
            let paused = FakeServer::bind(|r| paused_answer(r, 3)).await;
            let gateway = TestGateway::open(&[&paused, &other]).await;
            let closed = is_closed_after(listener, begin(), asked.clone());
            let closed = tokio::task::spawn_local(closed);
            assert_whole(&gateway.call("POST", "/stream/x", "").await);
            if asked.get() > 0 {
                assert!(closed.await.unwrap(), "the run goes on");
            }
        }
    });
}
