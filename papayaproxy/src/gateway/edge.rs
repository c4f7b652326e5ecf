//! Clients' connections, and what is decided before a request is sent anywhere.

use super::body::ReplyBody;
use super::codes;
use super::constants::{DEADLINE_DEFAULT, READY_AGE, RETRY_UNREADY, TARGET_DEFAULT, UNACKED_LIMIT};
use super::envelope::{Envelope, KeyHeader};
use super::events;
use super::exchange::{Call, History};
use super::process::Shared;
use super::refuse;
use crate::balance::constants::RETURNING_TIME_RATIO;
use crate::base::accept::accept;
use crate::base::code::Code;
use crate::catalog::config::KeyOwner;
use crate::catalog::{ClientLimits, Config, Route, Workspace};
use crate::platform::request;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Smallest buffer that the HTTP library takes, in bytes.
const BUFFER_LEAST: usize = 8 << 10;

/// Takes connections until the runtime ends.
pub(crate) async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let stream = accept(&listener, "client").await;
        tokio::task::spawn_local(serve_connection(stream, shared.clone()));
    }
}

async fn serve_connection(stream: TcpStream, shared: Rc<Shared>) {
    let options = stream
        .set_nodelay(true)
        .and_then(|()| socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_LIMIT)));
    if let Err(error) = options {
        tracing::debug!(%error, "a client's connection takes no options");
    }
    let limits = shared.catalog.config().map_or_else(ClientLimits::default, |c| c.limits);
    let closing = shared.closing.clone();
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(answer(shared, request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts the time from the end of the last answer.
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(BUFFER_LEAST))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "a client's connection broke");
    }
}

async fn answer(shared: Rc<Shared>, request: Request<Incoming>) -> Response<ReplyBody> {
    let mut response = match prepare(&shared, request).await {
        Ok(call) => call.run().await,
        Err(response) => response,
    };
    // Kept connections would bring more requests to where they are served worse.
    if shared.is_stopping() || !shared.is_ready() {
        refuse::close(&mut response);
    }
    response
}

/// Finds route, key and body, or gives the answer of a request that goes nowhere.
async fn prepare(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Call, Response<ReplyBody>> {
    let arrived = shared.clock.now();
    let envelope = request::read(request.headers());
    let deny = |code: Code, again: Option<Duration>| {
        let id = &envelope.id;
        let code_text = code.to_string();
        let response = match again {
            Some(after) => refuse::come_back(code, after),
            None => refuse::answer(code),
        };
        let status = response.status().as_u16();
        shared.meters.answered(status, Duration::ZERO);
        let age = shared.catalog.config_age().map(|a| a.as_millis() as u64);
        tracing::info!(
            event = events::REQUEST_ANSWERED,
            request = %id,
            status,
            code = code_text,
            version = shared.catalog.version(),
            config_ms = age,
            "answered"
        );
        response
    };
    let Some(config) = shared.catalog.config() else {
        return Err(deny(codes::CONFIG_MISSING, Some(RETRY_UNREADY)));
    };
    let Some(route) = find_route(&config, &request) else {
        return Err(match shared.catalog.is_fresh(READY_AGE) {
            true => deny(codes::ROUTE_MISSING, None),
            false => deny(codes::CONFIG_STALE, Some(RETRY_UNREADY)),
        });
    };
    if shared.takes_no_more(&route) {
        tracing::info!(event = events::REQUEST_ANSWERED, request = %envelope.id, status = 503, "stopping");
        return Err(refuse::stopping());
    }
    let workspace = match find_workspace(shared, &config, &route, &envelope) {
        Ok(workspace) => workspace,
        Err((code, again)) => return Err(deny(code, again)),
    };
    let (parts, body) = request.into_parts();
    let patience = envelope.patience.unwrap_or(DEADLINE_DEFAULT);
    let allowed = route.timeout.map_or(patience, |t| t.min(patience));
    let body = match read_body(body, config.limits.body_bytes, allowed).await {
        Ok(body) => body,
        Err(code) => return Err(deny(code, None)),
    };
    let service = route.service(rand::random());
    let Some(service) = service.cloned() else {
        return Err(deny(codes::NO_SEAT, Some(RETRY_UNREADY)));
    };
    shared.seats.with(|desk| desk.count_request(&service, arrived));
    let back = shared.is_back(&route, patience, RETURNING_TIME_RATIO);
    tracing::info!(
        event = events::REQUEST_TAKEN,
        request = %envelope.id,
        route = %route.name,
        version = config.version,
        config_ms = shared.catalog.config_age().map(|a| a.as_millis() as u64),
        kind = ?route.kind,
        left_ms = allowed.as_millis() as u64,
        back,
        "taken"
    );
    Ok(Call {
        shared: shared.clone(),
        _busy: shared.busy(),
        on_time: route.latency_target.unwrap_or(TARGET_DEFAULT),
        envelope,
        route,
        service,
        workspace,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        arrived,
        deadline: arrived + allowed,
        back,
        history: History::default(),
    })
}

fn find_route(config: &Config, request: &Request<Incoming>) -> Option<Arc<Route>> {
    let host = request.headers().get(HOST)?.to_str().ok()?;
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
    config.route(&host, request.uri().path()).cloned()
}

type Denied = (Code, Option<Duration>);

fn find_workspace(
    shared: &Shared,
    config: &Config,
    route: &Route,
    envelope: &Envelope,
) -> Result<Option<Arc<Workspace>>, Denied> {
    if route.public || !config.needs_keys() {
        return Ok(None);
    }
    // A key may have been withdrawn since; whoever cannot know does not accept it.
    if !shared.catalog.is_fresh(shared.key_age()) {
        return Err((codes::CONFIG_STALE, Some(RETRY_UNREADY)));
    }
    let owner = match &envelope.key {
        KeyHeader::One(key) => config.key_owner(key),
        KeyHeader::Missing | KeyHeader::Unreadable => KeyOwner::Unknown,
    };
    match owner {
        KeyOwner::Known(workspace) => Ok(Some(workspace)),
        KeyOwner::NotRequired => Ok(None),
        KeyOwner::Unknown if shared.catalog.is_fresh(READY_AGE) => Err((codes::KEY_UNKNOWN, None)),
        KeyOwner::Unknown => Err((codes::CONFIG_STALE, Some(RETRY_UNREADY))),
    }
}

async fn read_body(body: Incoming, most: usize, limit: Duration) -> Result<Bytes, Code> {
    match timeout(limit, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(codes::BODY_LARGE),
        Ok(Err(error)) => {
            tracing::debug!(%error, "a request's body broke off");
            Err(codes::BODY_CUT)
        }
        Err(_) => Err(codes::BODY_CUT),
    }
}
