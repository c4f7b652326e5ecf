//! Responses that the entry itself produces.

use super::body::ResponseBody;
use crate::base::code::{Code, row};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Header that carries the result code.
const CODE_HEADER: &str = "papaya-code";

/// A response that states `code`.
pub(crate) fn response(code: Code) -> Response<ResponseBody> {
    let status = row(code).and_then(|r| StatusCode::from_u16(r.status).ok());
    let mut response = Response::new(ResponseBody::full(format!("{code}\n")));
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Ok(value) = HeaderValue::from_str(&code.to_string()) {
        response.headers_mut().insert(CODE_HEADER, value);
    }
    response
}

/// A response that states `code` and a `Retry-After` time.
pub(crate) fn retry_later(code: Code, retry_after: Duration) -> Response<ResponseBody> {
    let mut response = response(code);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Announces that the connection closes after this response.
pub(crate) fn close_connection(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
