//! HTTP calls to one address of the platform: the store, or a replica's own interface.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest answer that is read, in bytes: a page of a megabyte in base64, with its frame.
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// Why a call brought no answer.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    /// No connection.
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: std::io::Error },
    /// The connection broke or its bytes are no answer.
    #[snafu(display("the answer broke off: {reason}"))]
    Broken { reason: String },
    /// No answer in time.
    #[snafu(display("no answer within {} ms", limit.as_millis()))]
    Late { limit: Duration },
}

type Connection = SendRequest<Full<Bytes>>;

/// A client of one address, with its kept connections.
pub(crate) struct Caller {
    address: SocketAddr,
    host: String,
    idle: RefCell<Vec<Connection>>,
}

impl Caller {
    /// A client of `address`; connects at the first call.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, host: address.to_string(), idle: RefCell::default() }
    }

    /// Reads `path`, within `limit`.
    ///
    /// # Errors
    /// No answer; a connection is kept only after a whole one.
    pub(crate) async fn get(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        self.call(Method::GET, path, Bytes::new(), limit).await
    }

    /// Posts JSON to `path`, within `limit`.
    ///
    /// # Errors
    /// No answer; the call may have been carried out all the same.
    pub(crate) async fn post(
        &self,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        self.call(Method::POST, path, body, limit).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let answer = timeout(limit, self.exchange(method, path, body)).await;
        answer.unwrap_or(Err(CallError::Late { limit }))
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut connection = self.connection().await?;
        let json = !body.is_empty();
        let request = Request::builder().method(method).uri(path).header(HOST, &self.host);
        let mut request = request.body(Full::new(body)).map_err(broken)?;
        if json {
            let value = HeaderValue::from_static("application/json");
            request.headers_mut().insert(CONTENT_TYPE, value);
        }
        let answer = connection.send_request(request).await.map_err(broken)?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), ANSWER_BYTES_MAX).collect().await;
        let body = body.map_err(broken)?.to_bytes();
        self.idle.borrow_mut().push(connection);
        Ok((status, body))
    }

    async fn connection(&self) -> Result<Connection, CallError> {
        loop {
            let Some(idle) = self.idle.borrow_mut().pop() else { break };
            if idle.is_ready() {
                return Ok(idle);
            }
        }
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|source| CallError::Connect { source })?;
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "cannot set TCP_NODELAY");
        }
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(broken)?;
        let address = self.address;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection to the platform ended");
            }
        });
        Ok(sender)
    }
}

fn broken(error: impl std::fmt::Display) -> CallError {
    CallError::Broken { reason: error.to_string() }
}
