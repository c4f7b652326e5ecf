//! Tests of the load tool.

use super::event_stream::{EventReader, StreamEvent};
use super::{Credential, ModelTarget, PlainTarget, Plan, run_plan};
use crate::engine::Ask;
use crate::engine::text::piece_text;
use crate::http::Server;
use crate::http::body::{Body, collect, full, streamed};
use crate::http::server::handler;
use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, Request, Response};
use rstest::rstest;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

#[test]
fn event_reader_split_anywhere() {
    let text = b"data: {\"a\":1}\n\nevent: error\ndata: x\n\ndata: [DONE]\n\n";
    let event = |name: &str, data: &str| StreamEvent { name: name.into(), data: data.into() };
    let due = [event("message", "{\"a\":1}"), event("error", "x"), event("message", "[DONE]")];
    for at in 0..text.len() {
        let mut reader = EventReader::default();
        let mut found = reader.take(&text[..at]);
        found.extend(reader.take(&text[at..]));
        assert_eq!(found, due, "split at {at}");
        assert!(!reader.is_partial());
    }
}

/// How a fake entry answers.
#[derive(Clone, Copy)]
enum Manner {
    Right,
    Foreign,
    Short,
    NoTrailers,
    FailedStream,
    Broken,
    Refused,
}

/// An entry's streamed answer with its trailers.
fn stream_body(ask: &Ask, manner: Manner) -> Body {
    let count = if matches!(manner, Manner::Short) { ask.max_tokens - 1 } else { ask.max_tokens };
    let hash = if matches!(manner, Manner::Foreign) { 1 } else { ask.hash() };
    let mut events: String = (0..count)
        .map(|i| format!("data: {{\"index\":{i},\"text\":\"{}\"}}\n\n", piece_text(hash, i)))
        .collect();
    let failed =
        "event: error\ndata: {\"code\":\"P9\",\"outcome\":\"unknown\",\"request\":\"1\"}\n\n";
    events.push_str(if matches!(manner, Manner::FailedStream) {
        failed
    } else {
        "data: [DONE]\n\n"
    });
    let data = Bytes::from(events);
    match manner {
        Manner::NoTrailers => full(data),
        Manner::Broken => {
            let broken = Err(io::ErrorKind::ConnectionReset.into());
            streamed(futures_util::stream::iter([Ok(data), broken]))
        }
        _ => {
            let mut trailers = HeaderMap::new();
            trailers.insert("papaya-outcome", "completed".parse().unwrap());
            trailers.insert("papaya-code", "P0000".parse().unwrap());
            let frames = [Frame::data(data), Frame::trailers(trailers)];
            StreamBody::new(futures_util::stream::iter(frames).map(Ok)).boxed_unsync()
        }
    }
}

async fn answer(request: Request<Incoming>, manner: Manner) -> io::Result<Response<Body>> {
    let path = request.uri().path().to_owned();
    let body = collect(request.into_body()).await?;
    let reply = Response::builder().header("papaya-code", "P0000");
    if matches!(manner, Manner::Refused) {
        let reply = reply.status(503).header("papaya-outcome", "not-run");
        return Ok(reply.body(full("")).unwrap());
    }
    if !path.ends_with("/completions") {
        return Ok(reply.header("papaya-outcome", "completed").body(full(body)).unwrap());
    }
    let ask = Ask { version: 1, ..serde_json::from_slice(&body).unwrap() };
    let reply = reply
        .header("papaya-outcome", "streaming")
        .header("trailer", "papaya-outcome, papaya-code");
    Ok(reply.body(stream_body(&ask, manner)).unwrap())
}

#[rstest]
#[case::right(Manner::Right, "completed")]
#[case::foreign(Manner::Foreign, "wrong")]
#[case::short(Manner::Short, "wrong")]
#[case::no_trailers(Manner::NoTrailers, "wrong")]
#[case::failed_stream(Manner::FailedStream, "unknown")]
#[case::broken(Manner::Broken, "cut")]
#[case::refused(Manner::Refused, "not-run")]
#[tokio::test]
async fn run_plan_verdicts(#[case] manner: Manner, #[case] outcome: &str) {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let entry = Server::bind(any, handler(move |r| answer(r, manner))).await.unwrap();
    let model = ModelTarget {
        service: "assistant".into(),
        model: "assistant".into(),
        version: 0,
        tokens: 4,
        prompt: 100,
        prefixes: 2,
    };
    let plan = Plan {
        entries: vec![entry.addr()],
        workspaces: vec![Credential { workspace: "w".into(), token: "t".into() }],
        rate: 1000.0,
        duration: Duration::from_millis(20),
        model: Some(model),
        plain: Some(PlainTarget { service: "ledger".into(), keyed: false }),
        model_share: 1.0,
        deadline: Duration::from_secs(5),
        in_flight: 100,
        seed: 1,
        label: "test".into(),
    };
    let report = run_plan(&plan, |_| {}).await;
    assert_eq!((report.sent, report.outcome(outcome)), (20, 20), "{report}");
    let plain = run_plan(&Plan { model_share: 0.0, ..plan }, |_| {}).await;
    let due = if outcome == "not-run" { "not-run" } else { "completed" };
    assert_eq!(plain.outcome(due), 20, "{plain}");
}
