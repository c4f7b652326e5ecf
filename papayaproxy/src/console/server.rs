//! The HTTP server of the console.

use super::constants::FORM_BYTES_MAX;
use super::error::PageError;
use super::events;
use super::form::Form;
use super::guard::{Guard, check_origin};
use super::pages::problem::problem;
use super::routes::{ConsoleState, OperatorRequest};
use super::settings::ConsoleSettings;
use super::source::Source;
use super::{codes, routes};
use crate::base::http::{Body, full, serve};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Stylesheet of all pages.
const STYLE: &str = include_str!("style.css");

/// Headers of all responses; they forbid scripts, frames and caching.
const HEADERS: [(HeaderName, &str); 5] = [
    (
        header::CONTENT_SECURITY_POLICY,
        "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
    ),
    (header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
    (header::X_FRAME_OPTIONS, "DENY"),
    (header::REFERRER_POLICY, "same-origin"),
    (header::CACHE_CONTROL, "no-store"),
];

/// A running console; dropping it stops the server.
pub struct Console {
    address: SocketAddr,
    _stop: DropGuard,
}

impl Console {
    /// Binds the address and starts serving.
    ///
    /// # Errors
    /// Returns the system's error if the address cannot be bound.
    pub async fn bind(settings: ConsoleSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(ConsoleState {
            guard: Guard::new(settings.operators, rand::random()),
            source: Source::new(settings.platform, settings.processes),
        });
        let stop = CancellationToken::new();
        let handler = move |request| respond(state.clone(), request);
        tokio::spawn(serve(listener, handler, stop.clone()));
        tracing::info!(event = events::CONSOLE_OPENED, %address, "console open");
        Ok(Self { address, _stop: stop.drop_guard() })
    }

    /// The bound address, with the port that the system chose if the settings give port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn respond(state: Arc<ConsoleState>, request: Request<Incoming>) -> Response<Body> {
    let mut response = if request.uri().path() == "/style.css" {
        typed_response("text/css", STYLE)
    } else {
        let path = request.uri().path().to_owned();
        let result = handle(&state, request).await;
        result.unwrap_or_else(|error| error_response(&error, &path))
    };
    for (name, value) in HEADERS {
        response.headers_mut().insert(name, HeaderValue::from_static(value));
    }
    response
}

async fn handle(
    state: &ConsoleState,
    request: Request<Incoming>,
) -> Result<Response<Body>, PageError> {
    let operator = state.guard.authenticate(request.headers())?;
    let now = SystemTime::now();
    let token = state.guard.issue_token(&operator, since_epoch(now));
    let path = request.uri().path().to_owned();
    let operator_request = |form| OperatorRequest {
        operator: operator.clone(),
        token: token.clone(),
        now,
        path,
        form,
    };
    if request.method() == Method::GET {
        let query = request.uri().query().unwrap_or_default().as_bytes();
        return routes::handle_get(state, &operator_request(Form::parse(query)?)).await;
    }
    if request.method() != Method::POST {
        return Err(PageError::new(codes::METHOD_UNKNOWN, "expected GET or POST"));
    }
    check_origin(request.headers())?;
    check_type(request.headers())?;
    let form = Form::parse(&read_body(request.into_body()).await?)?;
    state.guard.check_token(&operator, form.text("mark"), since_epoch(now))?;
    routes::handle_post(state, &operator_request(form)).await
}

fn since_epoch(now: SystemTime) -> Duration {
    now.duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn check_type(headers: &HeaderMap) -> Result<(), PageError> {
    let kind = headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if kind.starts_with("application/x-www-form-urlencoded") {
        return Ok(());
    }
    Err(PageError::new(
        codes::FORM_UNREADABLE,
        "expected content type application/x-www-form-urlencoded",
    ))
}

async fn read_body(body: Incoming) -> Result<Bytes, PageError> {
    let read = Limited::new(body, FORM_BYTES_MAX).collect().await;
    let whole = read.map_err(|error| match error.downcast_ref::<LengthLimitError>() {
        Some(_) => PageError::new(codes::FORM_OVERSIZED, error.to_string()),
        None => PageError::new(codes::FORM_UNREADABLE, error.to_string()),
    })?;
    Ok(whole.to_bytes())
}

fn error_response(error: &PageError, path: &str) -> Response<Body> {
    if error.status().as_u16() < StatusCode::NOT_FOUND.as_u16() {
        tracing::warn!(event = events::OPERATOR_REFUSED, code = %error.code, %path, "request refused");
    }
    let mut response = typed_response("text/html; charset=utf-8", problem(error).into_string());
    *response.status_mut() = error.status();
    if error.code == codes::OPERATOR_UNKNOWN {
        let realm = HeaderValue::from_static("Basic realm=\"papaya-console\", charset=\"UTF-8\"");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, realm);
    }
    response
}

/// A response with status 200 and the given content type.
pub(crate) fn typed_response(kind: &'static str, content: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(content));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
