//! Client connections, and the checks made before a request is forwarded.

use super::body::ResponseBody;
use super::buffer::{BufferError, Buffered};
use super::clients::Client;
use super::codes;
use super::constants::{
    DEADLINE_DEFAULT, LATENCY_TARGET_DEFAULT, READY_AGE_MAX, RETRY_AFTER_STOPPING,
    RETRY_AFTER_UNREADY, UNACKED_TIMEOUT,
};
use super::envelope::{Envelope, KeyHeader};
use super::events;
use super::exchange::{AttemptHistory, Exchange, priority};
use super::process::Shared;
use super::refuse;
use super::repeats::RetryAccount;
use crate::balance::Balancer;
use crate::balance::constants::RETURNING_TIME_RATIO;
use crate::base::accept::accept;
use crate::base::code::Code;
use crate::base::metered::{MeteredBody, MeteredStream, set_buffers};
use crate::catalog::config::KeyOwner;
use crate::catalog::{ClientLimits, Config, Route, Workspace};
use crate::platform::request;
use crate::quarantine::{request_key, shared_keys};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Smallest buffer size that hyper accepts, in bytes.
const BUFFER_BYTES_MIN: usize = 8 << 10;

/// Accepts connections until idle ones are to be closed, and then those that wait to be accepted.
pub(crate) async fn serve(listener: TcpListener, shared: Rc<Shared>) {
    // The process must not exit while connections wait.
    let _open = shared.track_connection();
    loop {
        tokio::select! {
            stream = accept(&listener, "client") => spawn_connection(stream, &shared),
            () = shared.accept_end.cancelled() => break,
        }
    }
    let drained = listener.into_std().and_then(|listener| {
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    spawn_connection(TcpStream::from_std(stream)?, &shared);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
    });
    if let Err(error) = drained {
        tracing::warn!(%error, "cannot accept the last connections");
    }
}

fn spawn_connection(stream: TcpStream, shared: &Rc<Shared>) {
    let (shared, open) = (shared.clone(), shared.track_connection());
    // One that comes while idle ones are closed is given time for its request.
    let is_late = shared.closing.is_cancelled();
    let close = if is_late { shared.accept_end.clone() } else { shared.closing.clone() };
    tokio::task::spawn_local(async move {
        serve_connection(stream, shared, close).await;
        drop(open);
    });
}

async fn serve_connection(stream: TcpStream, shared: Rc<Shared>, close: CancellationToken) {
    let options = stream
        .set_nodelay(true)
        .and_then(|()| socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
    if let Err(error) = options {
        tracing::debug!(%error, "cannot set socket options of a client connection");
    }
    let limits = shared.catalog.config().map_or_else(ClientLimits::default, |c| c.limits);
    // The kernel's bytes count toward the memory of the process, too.
    if let Some(buffers) = shared.clients.bounds.sockets
        && let Err(error) = set_buffers(&stream, buffers)
    {
        tracing::debug!(%error, "cannot set the buffers of a client connection");
    }
    let (stream, meter) = MeteredStream::new(stream);
    let client = shared.clients.open(meter.clone());
    let (service_client, service_meter) = (client.clone(), meter.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        service_meter.progress();
        let (shared, client) = (shared.clone(), service_client.clone());
        let request = request.map(|body| MeteredBody::new(body, service_meter.clone()));
        async move { Ok::<_, Infallible>(handle_request(shared, request, client).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper measures this timeout from the end of the previous response, so it includes the
        // idle time.
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(BUFFER_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = closed_unread(&close) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection.as_mut() => ended,
                () = client.cut() => return meter.reset_on_drop(),
            }
        }
        () = client.cut() => return meter.reset_on_drop(),
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "client connection failed");
    }
}

/// Waits until idle connections are to be closed. hyper closes one without a look at its socket, so
/// the runtime looks for arrived requests once more in between.
async fn closed_unread(close: &CancellationToken) {
    close.cancelled().await;
    tokio::task::yield_now().await;
}

async fn handle_request(
    shared: Rc<Shared>,
    request: Request<ClientBody>,
    client: Rc<Client>,
) -> Response<ResponseBody> {
    let mut response = match prepare(&shared, request, &client).await {
        Ok(exchange) => exchange.run().await,
        Err(response) => response,
    };
    response.body_mut().count_for(&client);
    // A kept-alive connection would bring further requests to an entry that is not ready.
    if shared.is_stopping() || !shared.is_ready() {
        refuse::close_connection(&mut response);
    }
    response
}

/// Resolves the route and the workspace and reads the body. A rejected request gets its response as
/// the error.
async fn prepare(
    shared: &Rc<Shared>,
    request: Request<ClientBody>,
    client: &Rc<Client>,
) -> Result<Exchange, Response<ResponseBody>> {
    let arrived = shared.clock.now();
    let envelope = request::read_envelope(request.headers());
    client.begin(&envelope.id);
    let reject = |code: Code, retry_after: Option<Duration>| {
        let id = &envelope.id;
        let code_text = code.to_string();
        let response = match retry_after {
            Some(after) => refuse::retry_later(code, after),
            None => refuse::response(code),
        };
        let status = response.status().as_u16();
        shared.meters.record_response(status, Duration::ZERO);
        let age = shared.catalog.config_age().map(|a| a.as_millis() as u64);
        tracing::info!(
            event = events::REQUEST_ANSWERED,
            request = %id,
            status,
            code = code_text,
            version = shared.catalog.version(),
            config_ms = age,
            "request answered"
        );
        response
    };
    let Some(config) = shared.catalog.config() else {
        return Err(reject(codes::CONFIG_MISSING, Some(RETRY_AFTER_UNREADY)));
    };
    let Some(route) = find_route(&config, &request) else {
        return Err(match shared.catalog.is_fresh(READY_AGE_MAX) {
            true => reject(codes::ROUTE_MISSING, None),
            false => reject(codes::CONFIG_STALE, Some(RETRY_AFTER_UNREADY)),
        });
    };
    let client_timeout = envelope.timeout.unwrap_or(DEADLINE_DEFAULT);
    let time_limit = route.timeout.map_or(client_timeout, |t| t.min(client_timeout));
    let service = route.service(rand::random()).cloned();
    if !shared.can_finish(&envelope, &route, service.as_ref(), time_limit) {
        return Err(reject(codes::STOPPING, Some(RETRY_AFTER_STOPPING)));
    }
    let workspace = match find_workspace(shared, &config, &route, &envelope) {
        Ok(workspace) => workspace,
        Err((code, retry_after)) => return Err(reject(code, retry_after)),
    };
    if shared.buffers.is_short() {
        tracing::warn!(event = events::BUFFERS_FULL, request = %envelope.id, "request refused");
        return Err(reject(codes::BUFFERS_FULL, Some(RETRY_AFTER_UNREADY)));
    }
    let (parts, body) = request.into_parts();
    let body = match read_body(shared, body, config.limits.body_bytes, time_limit).await {
        Ok(body) => body,
        Err((code, retry_after)) => return Err(reject(code, retry_after)),
    };
    let Some(service) = service else {
        return Err(reject(codes::NO_SEAT, Some(RETRY_AFTER_UNREADY)));
    };
    let target = parts.uri.path_and_query().map_or("", |t| t.as_str());
    let owner = workspace.as_ref().map_or("", |w| w.name.as_str());
    let content = request_key(&service, parts.method.as_str(), target, owner, &body.bytes);
    let transit = route.timeout.unwrap_or(time_limit);
    let retries = RetryAccount::open(shared.clone(), service.clone(), transit, arrived);
    let is_returning = shared.is_returning(&route, client_timeout, RETURNING_TIME_RATIO);
    let latency_target = route.latency_target.unwrap_or(LATENCY_TARGET_DEFAULT);
    let kept_time = if is_returning {
        let elapsed = shared.time_since_first(&route, client_timeout);
        let priority = priority(&route, workspace.as_deref());
        let is_on_time =
            |b: &mut Balancer| b.is_on_time(&service, priority, elapsed, latency_target, arrived);
        shared.seats.with_balancer(is_on_time)
    } else {
        None
    };
    tracing::info!(
        event = events::REQUEST_TAKEN,
        request = %envelope.id,
        route = %route.name,
        version = config.version,
        config_ms = shared.catalog.config_age().map(|a| a.as_millis() as u64),
        kind = ?route.kind,
        left_ms = time_limit.as_millis() as u64,
        back = is_returning,
        "request accepted"
    );
    Ok(Exchange {
        shared: shared.clone(),
        client: client.clone(),
        shared_parts: shared_keys(&service, &envelope.prompt_parts),
        content,
        in_flight: Rc::new(shared.track_request(&envelope.id, &route)),
        latency_target,
        envelope,
        route,
        service,
        workspace,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        arrived,
        deadline: arrived + time_limit,
        is_returning,
        kept_time,
        history: AttemptHistory::default(),
        retries,
    })
}

fn find_route(config: &Config, request: &Request<ClientBody>) -> Option<Arc<Route>> {
    let host = request.headers().get(HOST)?.to_str().ok()?;
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
    config.route(&host, request.uri().path()).cloned()
}

type Rejection = (Code, Option<Duration>);
type ClientBody = MeteredBody<Incoming>;

fn find_workspace(
    shared: &Shared,
    config: &Config,
    route: &Route,
    envelope: &Envelope,
) -> Result<Option<Arc<Workspace>>, Rejection> {
    if route.public || !config.needs_keys() {
        return Ok(None);
    }
    // The key may have been revoked since the configuration was last proven fresh.
    if !shared.catalog.is_fresh(shared.key_age_max()) {
        return Err((codes::CONFIG_STALE, Some(RETRY_AFTER_UNREADY)));
    }
    let owner = match &envelope.key {
        KeyHeader::One(key) => config.key_owner(key),
        KeyHeader::Missing | KeyHeader::Unreadable => KeyOwner::Unknown,
    };
    match owner {
        KeyOwner::Known(workspace) => Ok(Some(workspace)),
        KeyOwner::NotRequired => Ok(None),
        KeyOwner::Unknown if shared.catalog.is_fresh(READY_AGE_MAX) => {
            Err((codes::KEY_UNKNOWN, None))
        }
        KeyOwner::Unknown => Err((codes::CONFIG_STALE, Some(RETRY_AFTER_UNREADY))),
    }
}

async fn read_body(
    shared: &Shared,
    body: ClientBody,
    max_bytes: usize,
    limit: Duration,
) -> Result<Buffered, Rejection> {
    match timeout(limit, shared.buffers.collect(body, max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BufferError::Oversized { .. })) => Err((codes::BODY_LARGE, None)),
        Ok(Err(error @ BufferError::Exhausted { .. })) => {
            tracing::warn!(event = events::BUFFERS_FULL, %error, "request body refused");
            Err((codes::BUFFERS_FULL, Some(RETRY_AFTER_UNREADY)))
        }
        Ok(Err(error)) => {
            tracing::debug!(%error, "cannot read a request body");
            Err((codes::BODY_CUT, None))
        }
        Err(_) => Err((codes::BODY_CUT, None)),
    }
}
