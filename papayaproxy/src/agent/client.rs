//! HTTP client of the upstream.

use super::codes;
use super::constants::{CONNECT_TIMEOUT, IDLE_TIMEOUT};
use crate::base::code::Code;
use crate::base::status::is_defined;
use crate::wire::{CallHead, Header, ReplyHead};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;

/// Hop-by-hop headers and `host`; they concern one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];

/// HTTP client of one upstream. A connection is closed if its response was not read to the end.
#[derive(Clone)]
pub(crate) struct UpstreamClient {
    client: Client<HttpConnector, Full<Bytes>>,
    target: SocketAddr,
}

impl UpstreamClient {
    pub(crate) fn new(target: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // Retries are decided by the entry; a second sending here could run a call twice.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, target }
    }

    /// Sends a request and returns the head of the response. Fails with `UPSTREAM_REFUSED` if no
    /// connection was opened, and with `UPSTREAM_LOST` if the request may have reached the upstream,
    /// or its response has no status of HTTP.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Code> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { codes::UPSTREAM_REFUSED } else { codes::UPSTREAM_LOST }
        })?;
        if is_defined(response.status()) { Ok(response) } else { Err(codes::UPSTREAM_LOST) }
    }

    /// Builds the HTTP request of a call.
    pub(crate) fn call_request(
        &self,
        head: &CallHead,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Code> {
        let malformed = |_| codes::CALL_MALFORMED;
        let method =
            Method::from_bytes(head.method.as_bytes()).map_err(|_| codes::CALL_MALFORMED)?;
        let mut request = Request::builder()
            .method(method)
            .uri(self.uri(&head.path)?)
            .body(Full::new(body))
            .map_err(malformed)?;
        for header in &head.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_maybe_shared(header.value.clone());
            let pair = name.ok().zip(value.ok()).ok_or(codes::CALL_MALFORMED)?;
            request.headers_mut().append(pair.0, pair.1);
        }
        let id = HeaderValue::from_str(&format!("{:016x}", head.request));
        request.headers_mut().insert("papaya-request", id.map_err(|_| codes::CALL_MALFORMED)?);
        Ok(request)
    }

    /// Builds a request without a body.
    pub(crate) fn empty_request(
        &self,
        method: Method,
        path: &str,
    ) -> Result<Request<Full<Bytes>>, Code> {
        let request = Request::builder().method(method).uri(self.uri(path)?);
        request.body(Full::default()).map_err(|_| codes::CALL_MALFORMED)
    }

    fn uri(&self, path: &str) -> Result<Uri, Code> {
        let uri = Uri::builder().scheme("http").authority(self.target.to_string());
        uri.path_and_query(path).build().map_err(|_| codes::CALL_MALFORMED)
    }
}

/// Copies the headers that are forwarded.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    let kept = headers.iter().filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()));
    kept.map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    })
    .collect()
}

/// Builds the reply head that is sent to the entry for an upstream's response.
pub(crate) fn reply_head(response: &Response<Incoming>) -> ReplyHead {
    ReplyHead {
        status: response.status().as_u16(),
        headers: end_to_end_headers(response.headers()),
    }
}
