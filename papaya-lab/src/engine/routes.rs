//! The engine's HTTP interface.

use super::orders::FencedOrder;
use super::server::Shared;
use super::settings::Switches;
use super::state::{Completion, Refusal};
use super::stream::{self, Stream};
use crate::http::body::{Body, collect_json, json, text};
use crate::http::query::number;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::io;
use std::sync::Arc;

/// Names the stream of a reply.
const STREAM_HEADER: &str = "engine-stream";

/// Names the workspace whose prefix cache is used.
const WORKSPACE_HEADER: &str = "papaya-workspace";

type Answer = io::Result<Response<Body>>;

pub(crate) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method().clone(), parts.as_slice()) {
        (Method::POST, ["v1", "completions"]) => complete(shared, request).await,
        (Method::GET, ["v1", "streams", id]) => Ok(resume(&shared, id, request.uri().query())),
        (Method::DELETE, ["v1", "streams", id]) => Ok(cancel(&shared, id)),
        (Method::GET, ["v1", "load"]) => Ok(load(&shared)),
        (Method::GET, ["v1", "cache-events"]) => Ok(cache_events(&shared, request.uri().query())),
        (Method::POST, ["v1", "orders"]) => order(shared, request).await,
        (Method::GET, ["lab", "counts"]) => Ok(json(StatusCode::OK, &shared.lock().counts)),
        (Method::POST, ["lab", "switch"]) => switch(&shared, request).await,
        _ => Ok(text(StatusCode::NOT_FOUND, "no such path\n")),
    }
}

async fn complete(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let workspace = request.headers().get(WORKSPACE_HEADER).and_then(|v| v.to_str().ok());
    let workspace = workspace.unwrap_or_default().to_owned();
    let completion: Completion = match collect_json(request.into_body()).await {
        Ok(completion) => completion,
        Err(error) => return Ok(text(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let id = shared.next_id();
    let now = shared.clock.now();
    let mut state = shared.lock();
    let submitted = state.submit(now, &shared.settings, id, &workspace, &completion);
    let cut = state.switches.cut;
    drop(state);
    shared.wake.notify_one();
    Ok(match submitted {
        Ok(stream) => stream_reply(&stream, stream.first, cut),
        Err(refusal) => refuse(refusal),
    })
}

fn refuse(refusal: Refusal) -> Response<Body> {
    match refusal {
        Refusal::Full => text(StatusCode::SERVICE_UNAVAILABLE, "the queue is full\n"),
        Refusal::NotLoaded => text(StatusCode::CONFLICT, "the model is not loaded\n"),
        Refusal::Empty => text(StatusCode::BAD_REQUEST, "no pieces are left to produce\n"),
        Refusal::Switched(status) => {
            let status = StatusCode::from_u16(status);
            text(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), "switched to fail\n")
        }
    }
}

fn stream_reply(stream: &Arc<Stream>, from: u32, cut: u32) -> Response<Body> {
    let mut reply = Response::new(stream::body(stream, from, cut));
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(STREAM_HEADER, HeaderValue::from(stream.id));
    reply
}

fn resume(shared: &Shared, id: &str, query: Option<&str>) -> Response<Body> {
    let mut state = shared.lock();
    let found = id.parse().ok().and_then(|id| state.stream(id));
    let Some(stream) = found else {
        return text(StatusCode::NOT_FOUND, "no such stream\n");
    };
    let from = number(query, "from").unwrap_or(0).min(u64::from(u32::MAX)) as u32;
    if from < stream.first {
        return text(StatusCode::RANGE_NOT_SATISFIABLE, "another engine has those pieces\n");
    }
    state.counts.resumed += 1;
    stream_reply(&stream, from, 0)
}

fn cancel(shared: &Shared, id: &str) -> Response<Body> {
    let cancelled = id.parse().is_ok_and(|id| shared.lock().cancel(id));
    let status = if cancelled { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND };
    text(status, "")
}

fn load(shared: &Shared) -> Response<Body> {
    let now = shared.clock.now();
    json(StatusCode::OK, &shared.lock().loads.read(now, shared.settings.load_lag))
}

fn cache_events(shared: &Shared, query: Option<&str>) -> Response<Body> {
    let from = number(query, "from").unwrap_or(0);
    let now = shared.clock.now();
    json(StatusCode::OK, &shared.lock().journal.read(now, from))
}

async fn order(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let fenced: FencedOrder = match collect_json(request.into_body()).await {
        Ok(fenced) => fenced,
        Err(error) => return Ok(text(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let mut state = shared.lock();
    if let Err(current) = state.orders.take(fenced.clone()) {
        state.counts.orders_refused += 1;
        return Ok(json(StatusCode::CONFLICT, &current));
    }
    state.counts.orders += 1;
    drop(state);
    let inner = shared.clone();
    tokio::spawn(async move { inner.obey(fenced.order).await });
    Ok(text(StatusCode::ACCEPTED, ""))
}

async fn switch(shared: &Shared, request: Request<Incoming>) -> Answer {
    let switches: Switches = match collect_json(request.into_body()).await {
        Ok(switches) => switches,
        Err(error) => return Ok(text(StatusCode::BAD_REQUEST, error.to_string())),
    };
    shared.lock().switches = switches;
    Ok(text(StatusCode::NO_CONTENT, ""))
}
