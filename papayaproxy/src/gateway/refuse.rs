//! Answers of our own.

use super::body::ReplyBody;
use super::codes;
use crate::base::code::{Code, row};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Header that carries the result code.
const CODE: &str = "papaya-code";

/// An answer that states `code`.
pub(crate) fn answer(code: Code) -> Response<ReplyBody> {
    let status = row(code).and_then(|r| StatusCode::from_u16(r.status).ok());
    let mut response = Response::new(ReplyBody::whole(format!("{code}\n")));
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Ok(value) = HeaderValue::from_str(&code.to_string()) {
        response.headers_mut().insert(CODE, value);
    }
    response
}

/// An answer that states `code` and when to come back.
pub(crate) fn come_back(code: Code, after: Duration) -> Response<ReplyBody> {
    let mut response = answer(code);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// An answer of an entry that is stopping: another one takes the request.
pub(crate) fn stopping() -> Response<ReplyBody> {
    let mut response = come_back(codes::STOPPING, super::constants::RETRY_STOPPING);
    close(&mut response);
    response
}

/// Tells the client that the connection closes after this answer.
pub(crate) fn close(response: &mut Response<ReplyBody>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
