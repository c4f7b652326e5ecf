//! HTTP client for one address of the platform: the store, or a replica's own interface.

use super::names::REQUEST_ID;
use crate::base::constants::ANSWER_BUFFER_BYTES;
use crate::base::metered::{Meter, MeteredBody, MeteredStream};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest response in bytes: a store page of one megabyte, encoded in base64 and wrapped in JSON.
const RESPONSE_BYTES_MAX: usize = 4 << 20;

/// Why a call got no response.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: std::io::Error },
    /// The connection failed, or the response is not valid HTTP.
    #[snafu(display("response interrupted or invalid: {reason}"))]
    Interrupted { reason: String },
    /// The response belongs to another call.
    #[snafu(display("the response does not name this call"))]
    Foreign,
    #[snafu(display("response exceeds {RESPONSE_BYTES_MAX} bytes"))]
    Oversized,
    #[snafu(display("no response within {} ms", limit.as_millis()))]
    Timeout { limit: Duration },
}

/// An open connection, and the meter of its reads.
type Connection = (SendRequest<Full<Bytes>>, Rc<Meter>);

/// HTTP client for one address, with a pool of idle connections.
pub(crate) struct HttpClient {
    address: SocketAddr,
    host: String,
    /// Whether each call carries an id by which the response is known.
    names_calls: bool,
    /// Whether the server has returned such an id.
    returns_ids: Cell<bool>,
    idle: RefCell<Vec<Connection>>,
}

impl HttpClient {
    /// Creates a client of `address`. It connects at the first call.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            host: address.to_string(),
            names_calls: false,
            returns_ids: Cell::default(),
            idle: RefCell::default(),
        }
    }

    /// The same for a replica, which may send a late second copy of an earlier response: each call
    /// carries an id, and a response with another one belongs to no call.
    pub(crate) fn new_named(address: SocketAddr) -> Self {
        Self { names_calls: true, ..Self::new(address) }
    }

    /// Requests `path` and waits for at most `limit`.
    ///
    /// # Errors
    /// No complete response arrived. The connection is then not reused.
    pub(crate) async fn get(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        self.call(Method::GET, path, Bytes::new(), limit).await
    }

    /// Posts a JSON body to `path` and waits for at most `limit`.
    ///
    /// # Errors
    /// No complete response arrived. The call may have been executed all the same.
    pub(crate) async fn post(
        &self,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        self.call(Method::POST, path, body, limit).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let response = timeout(limit, self.exchange(method, path, body)).await;
        response.unwrap_or(Err(CallError::Timeout { limit }))
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, CallError> {
        // Without ids, only the first response on a connection is known to belong to its call.
        let must_open = method == Method::POST && self.names_calls && !self.returns_ids.get();
        let (mut connection, is_reused) = match must_open {
            true => (self.open().await?, false),
            false => self.connection().await?,
        };
        let has_body = !body.is_empty();
        let request = Request::builder().method(method).uri(path).header(HOST, &self.host);
        let mut request = request.body(Full::new(body)).map_err(interrupted)?;
        if has_body {
            let value = HeaderValue::from_static("application/json");
            request.headers_mut().insert(CONTENT_TYPE, value);
        }
        let id = HeaderValue::from(rand::random::<u64>());
        if self.names_calls {
            request.headers_mut().insert(REQUEST_ID, id.clone());
        }
        let (sender, meter) = &mut connection;
        meter.progress();
        let response = sender.send_request(request).await.map_err(interrupted)?;
        meter.progress();
        if self.names_calls {
            let mut returned = response.headers().get_all(REQUEST_ID).iter().peekable();
            let is_unnamed = returned.peek().is_none();
            if returned.any(|r| *r != id) || (is_unnamed && is_reused && self.returns_ids.get()) {
                return Err(CallError::Foreign);
            }
            self.returns_ids.set(self.returns_ids.get() || !is_unnamed);
        }
        let (parts, body) = response.into_parts();
        let body = MeteredBody::new(body, meter.clone());
        let body = Limited::new(body, RESPONSE_BYTES_MAX).collect().await;
        let body = body.map_err(|error| match error.is::<LengthLimitError>() {
            true => CallError::Oversized,
            false => interrupted(error),
        })?;
        let body = body.to_bytes();
        // One that was opened for this call only would add up with each further call.
        if !must_open {
            self.idle.borrow_mut().push(connection);
        }
        Ok(Response::from_parts(parts, body))
    }

    /// Returns a connection, and whether it has served a call before.
    async fn connection(&self) -> Result<(Connection, bool), CallError> {
        loop {
            let Some(idle) = self.idle.borrow_mut().pop() else { break };
            if idle.0.is_ready() {
                return Ok((idle, true));
            }
        }
        Ok((self.open().await?, false))
    }

    async fn open(&self) -> Result<Connection, CallError> {
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|source| CallError::Connect { source })?;
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "cannot set TCP_NODELAY");
        }
        let (stream, meter) = MeteredStream::new(stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(ANSWER_BUFFER_BYTES);
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.map_err(interrupted)?;
        let address = self.address;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection to the platform failed");
            }
        });
        Ok((sender, meter))
    }
}

fn interrupted(error: impl std::fmt::Display) -> CallError {
    CallError::Interrupted { reason: error.to_string() }
}
