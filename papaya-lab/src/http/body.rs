//! Bodies of replies.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;

/// Largest request body that a stand-in reads, in bytes.
const BODY_BYTES_MAX: usize = 4 << 20;

/// The body of a reply.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A body that is known in full.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is produced piece by piece. An error cuts the connection.
pub(crate) fn streamed(pieces: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Body {
    StreamBody::new(pieces.map(|p| p.map(Frame::data))).boxed_unsync()
}

/// A reply of a status and a short text.
pub(crate) fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut reply = Response::new(full(text));
    *reply.status_mut() = status;
    reply
}

/// A reply of a status and a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let mut reply = text(status, serde_json::to_vec(value).unwrap_or_default());
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

/// Reads a whole request body.
///
/// # Errors
/// An error where the peer goes away or sends too much.
pub(crate) async fn collect(body: Incoming) -> io::Result<Bytes> {
    let limited = http_body_util::Limited::new(body, BODY_BYTES_MAX);
    let whole = limited.collect().await.map_err(io::Error::other)?;
    Ok(whole.to_bytes())
}

/// Reads a whole request body as JSON.
///
/// # Errors
/// An error where it cannot be read or does not fit.
pub(crate) async fn collect_json<T: DeserializeOwned>(body: Incoming) -> io::Result<T> {
    let bytes = collect(body).await?;
    serde_json::from_slice(&bytes).map_err(io::Error::other)
}
