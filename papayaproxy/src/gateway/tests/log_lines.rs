//! Log lines from which an operator learns why a stream was cut.

use super::stand_ins::{Action, FakeServer, NOT_EXECUTED, TestGateway, on_one_thread, reply};
use super::streams::interrupted_stream;
use crate::gateway::events;
use rstest::rstest;
use serde_json::Value;
use std::io::Write;
use std::sync::{Arc, Mutex};

/// Collects the log of one thread.
#[derive(Clone, Default)]
pub(super) struct LogLines(Arc<Mutex<Vec<u8>>>);

impl Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogLines {
    /// Starts to collect, until the guard is dropped.
    pub(super) fn collect() -> (Self, tracing::subscriber::DefaultGuard) {
        let writer = Self::default();
        let lines = Self(writer.0.clone());
        let make = move || writer.clone();
        let subscriber = tracing_subscriber::fmt().json().with_writer(make).finish();
        (lines, tracing::subscriber::set_default(subscriber))
    }

    /// The fields of each line of `event`.
    pub(super) fn of(&self, event: u16) -> Vec<Value> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        let lines = text.lines().map(|l| serde_json::from_str::<Value>(l).unwrap());
        lines.map(|l| l["fields"].clone()).filter(|f| f["event"] == event).collect()
    }
}

/// Guards against a line on a cut stream that does not tell why no other upstream went on with it.
#[rstest]
#[case::refused(Some(NOT_EXECUTED), "no upstream takes it")]
#[case::no_other(None, "no upstream takes it")]
#[case::attempts(Some("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), "attempts used up")]
#[case::status(
    Some("HTTP/1.1 404 None\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"),
    "next upstream answered 404"
)]
fn call_stream_cut_reason_logged(#[case] next: Option<&'static str>, #[case] reason: &str) {
    on_one_thread(async {
        let (lines, _guard) = LogLines::collect();
        let broken = interrupted_stream(vec![Action::Close]).await;
        let other = FakeServer::bind(move |r| {
            let failure = reply(r, "500 Broken", "why");
            vec![Action::Send(next.map_or(failure, str::to_owned))]
        });
        let other = other.await;
        let all = if next.is_some() { vec![&broken, &other] } else { vec![&broken] };
        let gateway = TestGateway::open(&all).await;
        // Either replica may be chosen first; only the first one begins a stream.
        while lines.of(events::STREAM_ENDED).is_empty() {
            gateway.call("POST", "/stream/x", "").await;
        }
        let line = lines.of(events::STREAM_ENDED).remove(0);
        assert_eq!((&line["outcome"], &line["reason"]), (&"cut".into(), &reason.into()), "{line}");
        assert_eq!(line["stopping"], false, "{line}");
    });
}
