//! Headers of replicas' answers.

use super::names::{NOT_RUN, REQUEST_ID, SIGNATURE};
use crate::gateway::Verdict;
use hyper::header::CONTENT_ENCODING;
use hyper::{HeaderMap, StatusCode};

/// Reads the head of an answer to the request `id`.
pub(crate) fn read(id: &str, status: StatusCode, headers: &HeaderMap) -> Verdict {
    let echoed = headers.get(REQUEST_ID).and_then(|v| v.to_str().ok());
    if headers.contains_key(NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::NotRun { misdirected: status == StatusCode::MISDIRECTED_REQUEST };
    }
    if echoed.is_some_and(|e| e != id) {
        return Verdict::Foreign;
    }
    if status.is_informational() || headers.contains_key(CONTENT_ENCODING) {
        return Verdict::Foreign;
    }
    if status.is_success() && (!headers.contains_key(SIGNATURE) || echoed.is_none()) {
        return Verdict::Foreign;
    }
    match status.as_u16() {
        // These statuses promise that nothing has run; without the header nobody has said so.
        408 | 429 | 503 => Verdict::Unproven,
        500..=599 => Verdict::Failed,
        _ => Verdict::Final,
    }
}
