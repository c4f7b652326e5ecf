//! The operators' HTTP endpoint: `/live`, `/ready`, `/status` and `/metrics`.

use super::gauges;
use super::metrics::Metrics;
use super::status::Status;
use crate::base::http::{Body, full, serve, text};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Returns the current status of the process.
pub type StatusSource = Arc<dyn Fn() -> Status + Send + Sync>;

/// The running operators' endpoint, which closes when dropped.
pub struct OpsEndpoint {
    address: SocketAddr,
    _stop: DropGuard,
}

impl OpsEndpoint {
    /// Binds the endpoint to `address` and serves it.
    ///
    /// # Errors
    /// The system error if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        metrics: Metrics,
        status: StatusSource,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        gauges::register(&metrics, &status);
        let stop = CancellationToken::new();
        let handler = move |request| {
            let response = respond(&request, &metrics, &status);
            std::future::ready(response)
        };
        tokio::spawn(serve(listener, handler, stop.clone()));
        Ok(Self { address, _stop: stop.drop_guard() })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn respond(
    request: &Request<Incoming>,
    metrics: &Metrics,
    status: &StatusSource,
) -> Response<Body> {
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "only GET\n");
    }
    match request.uri().path() {
        "/live" => text(StatusCode::OK, "live\n"),
        "/ready" if status().ready => text(StatusCode::OK, "ready\n"),
        "/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/status" => {
            with_content_type("application/json", serde_json::to_vec(&status()).unwrap_or_default())
        }
        "/metrics" => with_content_type("text/plain; version=0.0.4", metrics.render()),
        _ => text(StatusCode::NOT_FOUND, "paths: /live /ready /status /metrics\n"),
    }
}

fn with_content_type(content_type: &'static str, content: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full(content));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(content_type));
    response
}
