//! Answers to callers.

use crate::base::code::{Code, Outcome, outcome, row};
use crate::base::http::{Body, full};
use crate::wire::ReplyHead;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};
use serde::Serialize;
use std::time::Duration;

/// Value of `papaya-outcome` while a reply is on its way.
const STREAMING: &str = "streaming";

/// An error as the caller reads it.
#[derive(Serialize)]
struct ErrorBody<'a> {
    code: String,
    outcome: &'a str,
    request: String,
    message: &'a str,
}

/// An answer that says why there is no reply.
///
/// A doubtful one is never told as `not-run`, whatever its code says.
pub(crate) fn error(
    id: u64,
    code: Code,
    retry: Option<Duration>,
    doubtful: bool,
) -> Response<Body> {
    let told = if doubtful { Outcome::Unknown } else { outcome(code) };
    let status = row(code).and_then(|r| StatusCode::from_u16(r.status).ok());
    let mut response = Response::new(full(error_json(id, code, told)));
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry) = retry {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry.as_secs_f64().ceil() as u64));
    }
    stamp(headers, id, code);
    headers.insert("papaya-outcome", HeaderValue::from_static(told.as_str()));
    response
}

/// The last event of an event stream that could not be completed.
pub(crate) fn error_event(id: u64, code: Code) -> String {
    format!("event: error\ndata: {}\n\n", error_json(id, code, outcome(code)))
}

/// A whole reply.
pub(crate) fn whole(id: u64, head: ReplyHead, body: bytes::Bytes, code: Code) -> Response<Body> {
    let mut response = start(head, full(body));
    stamp(response.headers_mut(), id, code);
    response
}

/// The start of a reply whose end follows in the body's trailers.
pub(crate) fn streamed(id: u64, head: ReplyHead, body: Body) -> Response<Body> {
    let mut response = start(head, body);
    let headers = response.headers_mut();
    headers.remove(hyper::header::CONTENT_LENGTH);
    headers.insert("papaya-request", request_value(id));
    headers.insert("papaya-outcome", HeaderValue::from_static(STREAMING));
    headers.insert("trailer", HeaderValue::from_static("papaya-outcome, papaya-code"));
    response
}

/// The trailers that state how a streamed reply ended.
pub(crate) fn trailers(code: Code) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    trailers.insert("papaya-outcome", HeaderValue::from_static(outcome(code).as_str()));
    trailers.insert("papaya-code", code_value(code));
    trailers
}

fn start(head: ReplyHead, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn stamp(headers: &mut HeaderMap, id: u64, code: Code) {
    headers.insert("papaya-request", request_value(id));
    headers.insert("papaya-outcome", HeaderValue::from_static(outcome(code).as_str()));
    headers.insert("papaya-code", code_value(code));
}

fn request_value(id: u64) -> HeaderValue {
    ascii(format!("{id:016x}"))
}

fn code_value(code: Code) -> HeaderValue {
    ascii(code.to_string())
}

/// A header value of text that holds only digits and letters.
fn ascii(text: String) -> HeaderValue {
    HeaderValue::from_maybe_shared(bytes::Bytes::from(text))
        .unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn error_json(id: u64, code: Code, told: Outcome) -> String {
    let message = row(code).map_or("", |r| r.meaning);
    let body = ErrorBody {
        code: code.to_string(),
        outcome: told.as_str(),
        request: format!("{id:016x}"),
        message,
    };
    serde_json::to_string(&body).unwrap_or_default()
}
