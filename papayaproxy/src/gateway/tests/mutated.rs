//! Mutated bytes from clients and replicas must not cause a panic or a response to the wrong
//! request, and the next request must be served.

use super::stand_ins::{Action, FakeServer, TestGateway, on_one_thread, reply, send_to};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::timeout;

/// Mutations per test; raise it for longer runs by hand.
const CASES: u64 = 300;
/// Timeout for one response. A mutated content length makes the gateway wait for a body that never
/// comes.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(40);

fn mutate(text: &str, rng: &mut StdRng) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..3) {
            0 => bytes[at] = rng.random_range(0..127),
            1 => drop(bytes.remove(at)),
            _ => bytes.insert(at, rng.random_range(0..127)),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn send_mutated_requests_survive() {
    on_one_thread(async {
        let replica = FakeServer::bind(|r| vec![Action::Send(reply(r, "200 OK", "whole"))]).await;
        let gateway = TestGateway::open(&[&replica]).await;
        let request = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n\
                       X-Key: k1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
        for seed in 0..CASES {
            let mutated = mutate(request, &mut StdRng::seed_from_u64(seed));
            let Ok(answer) = timeout(RESPONSE_TIMEOUT, send_to(gateway.address(), &mutated)).await
            else {
                continue;
            };
            assert!(answer.is_empty() || answer.starts_with("HTTP/1."), "{seed}: {answer}");
        }
        for request in replica.received.borrow().iter() {
            assert_eq!(request.header("x-tenant"), Some("w1"), "{}", request.head);
            assert_eq!(request.header("x-key"), None, "{}", request.head);
        }
        let answer = gateway.call("GET", "/safe/x", "").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

#[test]
fn call_mutated_responses_not_crossed() {
    on_one_thread(async {
        let rng = RefCell::new(StdRng::seed_from_u64(1));
        let replica = FakeServer::bind(move |request| {
            let whole = reply(request, "200 OK", "whole");
            let head = whole.strip_suffix("whole").unwrap_or_default();
            let head = mutate(head, &mut rng.borrow_mut());
            vec![Action::Send(head + "whole"), Action::Close]
        })
        .await;
        let gateway = TestGateway::open(&[&replica]).await;
        for case in 0..CASES {
            let request = format!(
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r{case}\r\n\
                 X-Key: k1\r\nX-Request-Deadline-Ms: 60\r\nConnection: close\r\n\r\n"
            );
            let answer = send_to(gateway.address(), &request).await;
            assert!(answer.starts_with("HTTP/1.1 "), "{case}: {answer}");
            if answer.starts_with("HTTP/1.1 2") {
                let own = format!("x-request-id: r{case}\r\n");
                assert!(answer.to_lowercase().contains(&own), "{case}: {answer}");
            }
        }
    });
}
