//! Large answers of the store, and those in many small chunks, are read whole.

use crate::gateway::tests::stand_ins::{Action, FakeServer, on_one_thread};
use crate::platform::caller::HttpClient;
use rstest::rstest;
use std::time::Duration;

const BYTES: usize = 3 << 20;

fn chunked(size: usize) -> String {
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    chunk.repeat(BYTES / size) + "0\r\n\r\n"
}

/// Guards against large answers that pass for bytes without end, since more of them is read ahead than
/// a connection may read without progress.
#[rstest]
#[case::length(format!("Content-Length: {BYTES}\r\n"), "x".repeat(BYTES))]
#[case::chunks("Transfer-Encoding: chunked\r\n".into(), chunked(1 << 20))]
#[case::small_chunks("Transfer-Encoding: chunked\r\n".into(), chunked(16))]
#[case::unframed("Connection: close\r\n".into(), "x".repeat(BYTES))]
fn get_large_answer_whole(#[case] framing: String, #[case] body: String) {
    on_one_thread(async {
        let server = FakeServer::bind(move |_| {
            let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
            vec![Action::Send(head + &body), Action::Close]
        })
        .await;
        for _ in 0..4 {
            let client = HttpClient::new(server.address);
            let answer = client.get("/kv-range", Duration::from_secs(20)).await;
            assert_eq!(answer.unwrap().body().len(), BYTES);
        }
    });
}
