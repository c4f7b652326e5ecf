//! One GET over HTTP, limited in time and size.

use super::codes;
use super::constants::{ANSWER_BYTES_MAX, ANSWER_LIMIT};
use crate::base::code::Code;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Why a GET has no answer.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// No connection.
    #[snafu(display("{} {address}: {source}", codes::PROCESS_UNREACHABLE))]
    Connect {
        /// The address asked.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The connection broke.
    #[snafu(display("{} {address}: {source}", codes::PROCESS_UNREACHABLE))]
    Exchange {
        /// The address asked.
        address: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// It took too long.
    #[snafu(display("{} {address}: no answer within {limit:?}", codes::PROCESS_UNREACHABLE, limit = ANSWER_LIMIT))]
    Late {
        /// The address asked.
        address: SocketAddr,
    },
    /// The answer is not what was asked for.
    #[snafu(display("{} {address}: {detail}", codes::ANSWER_UNREADABLE))]
    Unreadable {
        /// The address asked.
        address: SocketAddr,
        /// What is wrong.
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

/// Reads `path` of the server at `address`.
///
/// # Errors
/// No answer within two seconds, one above 2 MiB, or a status other than 200.
pub async fn fetch(address: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
    let asked = tokio::time::timeout(ANSWER_LIMIT, ask(address, path)).await;
    asked.unwrap_or(Err(FetchError::Late { address }))
}

async fn ask(address: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = shaken.context(ExchangeSnafu { address })?;
    let driver = tokio::spawn(connection);
    let unreadable = |detail: String| FetchError::Unreadable { address, detail };
    let request = Request::get(path).header("host", address.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|e| unreadable(e.to_string()))?;
    let response = sender.send_request(request).await.context(ExchangeSnafu { address })?;
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX).collect().await;
    driver.abort();
    if status != hyper::StatusCode::OK {
        return Err(unreadable(format!("status {status}")));
    }
    Ok(body.map_err(|e| unreadable(e.to_string()))?.to_bytes())
}
