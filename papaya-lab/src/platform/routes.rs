//! The platform's HTTP interface.

use super::config::Revision;
use super::server::Shared;
use super::weights;
use crate::http::body::{Body, collect, collect_json, full, json, text};
use crate::http::query;
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use papayaproxy::settings::parse_duration;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest wait of a watch.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Wait of a watch that names none.
const WAIT_DEFAULT: Duration = Duration::from_secs(30);

type Answer = io::Result<Response<Body>>;

pub(crate) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/stats") => Ok(json(StatusCode::OK, &*shared.counts())),
        (&Method::PUT, "/publish") => publish(&shared, request).await,
        (&Method::PUT, "/hosts") => list(&shared, request).await,
        (&Method::POST, "/switch") => switch(&shared, request).await,
        (&Method::GET, _) => read(&shared, request).await,
        _ => Ok(text(StatusCode::METHOD_NOT_ALLOWED, "it can only be read\n")),
    }
}

async fn publish(shared: &Shared, request: Request<Incoming>) -> Answer {
    let document = collect(request.into_body()).await?;
    Ok(text(StatusCode::OK, shared.publish(document)))
}

async fn list(shared: &Shared, request: Request<Incoming>) -> Answer {
    match collect_json(request.into_body()).await {
        Ok(hosts) => shared.list(hosts),
        Err(error) => return Ok(text(StatusCode::BAD_REQUEST, error.to_string())),
    }
    Ok(text(StatusCode::NO_CONTENT, ""))
}

async fn switch(shared: &Shared, request: Request<Incoming>) -> Answer {
    match collect_json(request.into_body()).await {
        Ok(switches) => shared.switch(switches),
        Err(error) => return Ok(text(StatusCode::BAD_REQUEST, error.to_string())),
    }
    Ok(text(StatusCode::NO_CONTENT, ""))
}

/// A call of the system's side, which counts against the budget.
async fn read(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    shared.counts().calls += 1;
    if shared.config().is_down() {
        shared.counts().while_down += 1;
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    if !shared.take_call() {
        shared.counts().over_budget += 1;
        return Ok(text(StatusCode::TOO_MANY_REQUESTS, "over the budget\n"));
    }
    match request.uri().path() {
        "/v1/config/fleet" => fleet(shared, request).await,
        "/v1/hosts" => {
            shared.counts().hosts += 1;
            let list = shared.config().hosts(shared.now(), shared.settings.host_lag);
            Ok(json(StatusCode::OK, &list))
        }
        path if path.starts_with("/v1/weights/") => {
            shared.counts().weights += 1;
            let asked = query::number(request.uri().query(), "bytes");
            let size = asked.unwrap_or(shared.settings.blob_size).min(shared.settings.blob_size);
            Ok(Response::new(weights::body(shared, size)))
        }
        _ => Ok(text(StatusCode::NOT_FOUND, "no such path\n")),
    }
}

async fn fleet(shared: &Shared, request: Request<Incoming>) -> Answer {
    let query = request.uri().query();
    let Some(after) = query::value(query, "after") else {
        shared.counts().reads += 1;
        let seen = request.headers().get(IF_NONE_MATCH).and_then(|v| v.to_str().ok());
        let current = shared.config().current().cloned();
        let newer = current.filter(|r| Some(bare(&r.etag)) != seen.map(bare));
        return Ok(reply(newer, seen.is_some()));
    };
    shared.counts().watches += 1;
    let wait = query::value(query, "wait").and_then(|w| parse_duration(w).ok());
    let wait = wait.unwrap_or(WAIT_DEFAULT).min(WAIT_MAX);
    watch(shared, &after.replace("%22", "\""), wait).await
}

async fn watch(shared: &Shared, after: &str, wait: Duration) -> Answer {
    let until = Instant::now() + wait;
    let mut changes = shared.changes();
    loop {
        changes.mark_unchanged();
        if shared.config().is_down() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let current = shared.config().current().cloned();

        if let Some(newer) = current.filter(|r| bare(&r.etag) != bare(after)) {
            return Ok(reply(Some(newer), true));
        }
        if timeout_at(until, changes.changed()).await.is_err() {
            return Ok(text(StatusCode::NOT_MODIFIED, ""));
        }
    }
}

fn reply(revision: Option<Revision>, known: bool) -> Response<Body> {
    let Some(revision) = revision else {
        let status = if known { StatusCode::NOT_MODIFIED } else { StatusCode::NOT_FOUND };
        return text(status, "");
    };
    let mut reply = Response::new(full(revision.document));
    if let Ok(etag) = HeaderValue::from_str(&revision.etag) {
        reply.headers_mut().insert(ETAG, etag);
    }
    reply
}

/// A revision without its quotes.
fn bare(etag: &str) -> &str {
    etag.trim_matches('"')
}
