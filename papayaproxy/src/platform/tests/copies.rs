//! A replica's late second copies of its responses to the agent.

use crate::gateway::tests::stand_ins::{Action, FakeServer, ReceivedRequest, on_one_thread};
use crate::platform::rank::ReplicaClient;
use crate::ranks::rank::{Order, OrderReply};
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time until the second copy, in which the next call is sent.
const COPY_DELAY: Duration = Duration::from_millis(80);
const LIMIT: Duration = Duration::from_secs(5);

fn response(request: &ReceivedRequest, status: &str, with_ids: bool, body: &str) -> Action {
    let id = request.header("x-request-id").filter(|_| with_ids);
    let id = id.map(|id| format!("X-Request-Id: {id}\r\n")).unwrap_or_default();
    let length = body.len();
    Action::Send(format!("HTTP/1.1 {status}\r\n{id}Content-Length: {length}\r\n\r\n{body}"))
}

/// The first order is refused twice; the second copy is on its way when the next order arrives, which
/// is accepted. Taken for a refusal of that one, the agent would believe that nothing changes (MAP).
#[rstest]
#[case::without_ids(false)]
#[case::with_ids(true)]
fn send_order_second_copy_not_taken(#[case] with_ids: bool) {
    on_one_thread(async move {
        let orders = Cell::new(0);
        let replica = FakeServer::bind(move |request| {
            if request.head.starts_with("GET") {
                return vec![response(request, "200 OK", with_ids, "{}")];
            }
            orders.set(orders.get() + 1);
            match orders.get() {
                1 => {
                    let refusal = response(request, "409 Conflict", with_ids, "");
                    vec![refusal.clone(), Action::Wait(COPY_DELAY), refusal]
                }
                _ => vec![response(request, "202 Accepted", with_ids, "")],
            }
        })
        .await;
        let client = ReplicaClient::new(replica.address);
        assert!(client.report(LIMIT).await.unwrap().is_none());
        let send = || client.send_order(&Order::Go { step: 3 }, 1, 0, LIMIT);
        assert_eq!(send().await.unwrap(), OrderReply::Refused(409));
        let second = send().await;
        let is_known = second.as_ref().is_ok_and(|reply| *reply == OrderReply::Accepted);
        assert!(is_known || second.is_err(), "{second:?}");
        assert_eq!(replica.received.borrow().len(), 3);
    });
}

/// A second copy of an earlier report is not taken for the newest one.
#[test]
fn report_second_copy_not_taken() {
    on_one_thread(async {
        let reports = Cell::new(0);
        let replica = FakeServer::bind(move |request| {
            reports.set(reports.get() + 1);
            let step = reports.get();
            let body = format!(
                r#"{{"group":{{"name":"g","epoch":1,"rank":0,"state":"open"}},"size":2,"step":{step}}}"#
            );
            let report = response(request, "200 OK", true, &body);
            vec![report.clone(), Action::Wait(COPY_DELAY), report]
        })
        .await;
        let client = ReplicaClient::new(replica.address);
        assert_eq!(client.report(LIMIT).await.unwrap().unwrap().step, 1);
        let second = client.report(LIMIT).await;
        assert!(second.is_err(), "{second:?}");
        assert_eq!(client.report(LIMIT).await.unwrap().unwrap().step, 3);
    });
}

/// Each order opens a connection while the replica returns no ids. Kept connections would add up until
/// the agent has no memory or descriptors left.
#[test]
fn send_order_connections_closed() {
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (opened, closed) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let (accepted, ended) = (opened.clone(), closed.clone());
        tokio::task::spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                accepted.set(accepted.get() + 1);
                let ended = ended.clone();
                tokio::task::spawn_local(async move {
                    let mut bytes = [0; 4096];
                    while stream.read(&mut bytes).await.is_ok_and(|n| n > 0) {
                        let reply = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
                        stream.write_all(reply).await.unwrap();
                    }
                    ended.set(ended.get() + 1);
                });
            }
        });
        let client = ReplicaClient::new(address);
        for _ in 0..8 {
            let reply = client.send_order(&Order::Go { step: 3 }, 1, 0, LIMIT).await;
            assert_eq!(reply.unwrap(), OrderReply::Accepted);
        }
        tokio::time::sleep(COPY_DELAY).await;
        assert_eq!(opened.get(), 8);
        assert_eq!(closed.get(), 8, "connections of orders stay open");
    });
}
