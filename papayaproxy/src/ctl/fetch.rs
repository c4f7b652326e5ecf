//! HTTP GET with a timeout and a size limit.

use super::codes;
use super::constants::{RESPONSE_BYTES_MAX, RESPONSE_TIMEOUT};
use crate::base::code::Code;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Failure of a GET request.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The connection could not be established.
    #[snafu(display("{} {address}: {source}", codes::PROCESS_UNREACHABLE))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The HTTP exchange failed.
    #[snafu(display("{} {address}: {source}", codes::PROCESS_UNREACHABLE))]
    Exchange {
        /// Address of the server.
        address: SocketAddr,
        /// Underlying error.
        source: hyper::Error,
    },
    /// No response arrived within two seconds.
    #[snafu(display("{} {address}: no response within {limit:?}", codes::PROCESS_UNREACHABLE, limit = RESPONSE_TIMEOUT))]
    Late {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The response has another status than 200, is too large or cannot be parsed.
    #[snafu(display("{} {address}: {detail}", codes::ANSWER_UNREADABLE))]
    Unreadable {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the fault.
        detail: String,
    },
}

impl FetchError {
    /// The result code.
    pub fn code(&self) -> Code {
        match self {
            Self::Unreadable { .. } => codes::ANSWER_UNREADABLE,
            _ => codes::PROCESS_UNREACHABLE,
        }
    }
}

/// Fetches `path` from the server at `address`.
///
/// # Errors
/// No response within two seconds, a body above 2 MiB, or a status other than 200.
pub async fn fetch(address: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
    let fetched = tokio::time::timeout(RESPONSE_TIMEOUT, exchange(address, path)).await;
    fetched.unwrap_or(Err(FetchError::Late { address }))
}

async fn exchange(address: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(ExchangeSnafu { address })?;
    let driver = tokio::spawn(connection);
    let unreadable = |detail: String| FetchError::Unreadable { address, detail };
    let request = Request::get(path).header("host", address.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|e| unreadable(e.to_string()))?;
    let response = sender.send_request(request).await.context(ExchangeSnafu { address })?;
    let status = response.status();
    let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX).collect().await;
    driver.abort();
    if status != hyper::StatusCode::OK {
        return Err(unreadable(format!("status {status}")));
    }
    Ok(body.map_err(|e| unreadable(e.to_string()))?.to_bytes())
}
