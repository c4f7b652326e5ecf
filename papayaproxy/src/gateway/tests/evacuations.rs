//! Requests while their zone is evacuated.

use super::stand_ins::{Action, FakeServer, TestGateway, on_one_thread, reply};

/// Guards against requests that reach the only replica, or fail otherwise than with a time to come back,
/// while its zone is evacuated from the start on.
#[test]
fn call_zone_evacuated_refused() {
    on_one_thread(async {
        let replica = FakeServer::bind(|r| vec![Action::Send(reply(r, "200 OK", "done"))]).await;
        let gateway = TestGateway::open_evacuated(&[&replica]).await;
        for path in ["/safe/x", "/once/x", "/stream/x"] {
            let answer = gateway.call("POST", path, "").await.to_ascii_lowercase();
            assert!(
                answer.starts_with("http/1.1 503") && answer.contains("retry-after"),
                "{answer}"
            );
        }
        assert!(replica.received.borrow().is_empty());
    });
}
