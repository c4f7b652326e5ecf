//! Tests of the agent's client.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::client::UpstreamClient;
use super::codes;
use crate::gateway::tests::stand_ins::{Action, FakeServer, on_one_thread};
use hyper::Method;
use rstest::rstest;

/// Guards against what is no HTTP status, such as 000, that reaches a caller as an answer.
#[rstest]
fn send_status_invalid_lost(#[values("000", "099", "600", "999", "1000")] status: &'static str) {
    on_one_thread(async move {
        let upstream = FakeServer::bind(move |_| {
            vec![Action::Send(format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"))]
        })
        .await;
        let client = UpstreamClient::new(upstream.address);
        let request = client.empty_request(Method::GET, "/x").unwrap();
        let answer = client.send(request).await;
        assert!(matches!(answer, Err(codes::UPSTREAM_LOST)), "{answer:?}");
    });
}
