//! Builds the HTTP responses to callers.

use crate::base::code::{Code, Outcome, outcome, row};
use crate::base::http::{Body, full};
use crate::wire::ReplyHead;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};
use serde::Serialize;
use std::time::Duration;

/// Value of `papaya-outcome` in the head of a reply whose outcome follows in the trailers.
const STREAMING: &str = "streaming";

/// JSON body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    code: String,
    outcome: &'a str,
    request: String,
    message: &'a str,
}

/// Response to a request without a reply.
///
/// With `may_have_run` the outcome is `unknown`, whatever the outcome of `code` is.
pub(crate) fn error_response(
    id: u64,
    code: Code,
    retry_after: Option<Duration>,
    may_have_run: bool,
) -> Response<Body> {
    let stated = if may_have_run { Outcome::Unknown } else { outcome(code) };
    let status = row(code).and_then(|r| StatusCode::from_u16(r.status).ok());
    let mut response = Response::new(full(error_json(id, code, stated)));
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after) = retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after.as_secs_f64().ceil() as u64));
    }
    set_result(headers, id, code);
    headers.insert("papaya-outcome", HeaderValue::from_static(stated.as_str()));
    response
}

/// Last event of an event stream that failed.
pub(crate) fn error_event(id: u64, code: Code) -> String {
    format!("event: error\ndata: {}\n\n", error_json(id, code, outcome(code)))
}

/// Response with a complete reply.
pub(crate) fn complete_response(
    id: u64,
    head: ReplyHead,
    body: bytes::Bytes,
    code: Code,
) -> Response<Body> {
    let mut response = response_from(head, full(body));
    set_result(response.headers_mut(), id, code);
    response
}

/// Response whose outcome follows in the trailers of the body.
pub(crate) fn streaming_response(id: u64, head: ReplyHead, body: Body) -> Response<Body> {
    let mut response = response_from(head, body);
    let headers = response.headers_mut();
    headers.remove(hyper::header::CONTENT_LENGTH);
    headers.insert("papaya-request", request_value(id));
    headers.insert("papaya-outcome", HeaderValue::from_static(STREAMING));
    headers.insert("trailer", HeaderValue::from_static("papaya-outcome, papaya-code"));
    response
}

/// Trailers with the outcome and code of a streamed reply.
pub(crate) fn trailers(code: Code) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    trailers.insert("papaya-outcome", HeaderValue::from_static(outcome(code).as_str()));
    trailers.insert("papaya-code", code_value(code));
    trailers
}

fn response_from(head: ReplyHead, body: Body) -> Response<Body> {
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

fn set_result(headers: &mut HeaderMap, id: u64, code: Code) {
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

/// Header value of `text`, which must hold only ASCII letters and digits.
fn ascii(text: String) -> HeaderValue {
    HeaderValue::from_maybe_shared(bytes::Bytes::from(text))
        .unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn error_json(id: u64, code: Code, stated: Outcome) -> String {
    let message = row(code).map_or("", |r| r.meaning);
    let body = ErrorBody {
        code: code.to_string(),
        outcome: stated.as_str(),
        request: format!("{id:016x}"),
        message,
    };
    serde_json::to_string(&body).unwrap_or_default()
}
