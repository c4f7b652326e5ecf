//! Evaluates the heads of replicas' responses.

use super::names::{NOT_EXECUTED, RATE_LIMIT, REQUEST_ID, SIGNATURE};
use super::request::id_text;
use crate::base::status::is_defined;
use crate::gateway::Verdict;
use hyper::header::CONTENT_ENCODING;
use hyper::{HeaderMap, StatusCode};

/// Decides what the head of a response proves about the request `id`. On a connection that has served
/// requests before (`is_reused`), a late second copy of an earlier answer may arrive, so that an
/// answer without an id proves nothing there.
pub(crate) fn verdict(
    id: &str,
    status: StatusCode,
    headers: &HeaderMap,
    is_reused: bool,
) -> Verdict {
    let mut echoed = headers.get_all(REQUEST_ID).iter().peekable();
    let is_named = echoed.peek().is_some();
    if echoed.any(|value| id_text(value) != id) || (!is_named && is_reused) {
        return Verdict::Foreign;
    }
    // Beside another status, such as that of a success, the statement contradicts itself.
    let may_refuse = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
    let states_not_run = may_refuse && headers.contains_key(NOT_EXECUTED);
    if states_not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::NotRun { misdirected: status == StatusCode::MISDIRECTED_REQUEST };
    }
    let contradicts = status.is_success() && headers.contains_key(NOT_EXECUTED);
    let is_none = status.is_informational() || !is_defined(status);
    if is_none || contradicts || headers.contains_key(CONTENT_ENCODING) {
        return Verdict::Foreign;
    }
    if status.is_success() && (!headers.contains_key(SIGNATURE) || !is_named) {
        return Verdict::Foreign;
    }
    match status.as_u16() {
        // These statuses suggest that the request did not run, but only the header would confirm
        // it.
        408 | 429 | 503 => Verdict::Unproven,
        500..=599 => Verdict::Failed,
        _ => Verdict::Final,
    }
}

/// Requests a second that the replica takes from all entries together; `None` if it names no limit.
/// What is not a number of 0 or more counts as none.
pub(crate) fn rate_limit(headers: &HeaderMap) -> Option<f64> {
    let text = headers.get(RATE_LIMIT)?.to_str().ok()?;
    text.trim().parse().ok().filter(|limit: &f64| limit.is_finite() && *limit >= 0.0)
}
