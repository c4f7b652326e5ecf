//! Checks requests that issue, show or revoke idempotency keys.

use super::codes;
use super::constants::KEYS_DEADLINE;
use super::request::{Caller, CheckedRequest, PRIORITY_DEFAULT, read_body, read_deadline};
use crate::base::code::Code;
use crate::base::name::Name;
use crate::delivery::CallKind;
use crate::fleet::Document;
use crate::wire::Action;
use bytes::Bytes;
use hyper::Method;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use serde::Deserialize;
use std::time::Duration;

/// Path of the key API.
const KEYS_PATH: &str = "/v1/keys";

/// Body of a request that issues keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Issue {
    service: String,
    #[serde(default = "default_count")]
    count: u32,
}

fn default_count() -> u32 {
    1
}

/// Whether `path` belongs to the key API.
pub(crate) fn is_keys_path(path: &str) -> bool {
    path.strip_prefix(KEYS_PATH).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Checks a request to the key API.
///
/// # Errors
/// The method, path, body or deadline is invalid, or the service is unknown.
pub(crate) async fn keys_request(
    id: u64,
    caller: Caller,
    parts: Parts,
    body: Incoming,
    document: &Document,
) -> Result<CheckedRequest, Code> {
    let path = parts.uri.path();
    let rest = path.strip_prefix(KEYS_PATH).and_then(|r| r.strip_prefix('/'));
    let time_limit = read_deadline(&parts, KEYS_DEADLINE)?;
    let key = rest.filter(|k| !k.is_empty()).map(str::to_owned);
    match (&parts.method, key) {
        (&Method::POST, None) => {
            let issue = serde_json::from_slice::<Issue>(&read_body(body, time_limit).await?);
            let issue = issue.map_err(|_| codes::KEYS_MALFORMED)?;
            let service = document.services.get_key_value(issue.service.as_str());
            let service = service.ok_or(codes::SERVICE_UNKNOWN)?.0.clone();
            let request =
                control_request(id, caller, Action::Issue(issue.count), service, time_limit);
            Ok(CheckedRequest { kind: CallKind::Idempotent, ..request })
        }
        (&Method::GET, Some(key)) => Ok(key_request(id, caller, Action::Lookup, key, time_limit)),
        (&Method::DELETE, Some(key)) => {
            Ok(key_request(id, caller, Action::Revoke, key, time_limit))
        }
        _ => Err(codes::KEYS_MALFORMED),
    }
}

fn key_request(
    id: u64,
    caller: Caller,
    action: Action,
    key: String,
    time_limit: Duration,
) -> CheckedRequest {
    CheckedRequest {
        key: Some(key),
        ..control_request(id, caller, action, Name::new(), time_limit)
    }
}

fn control_request(
    id: u64,
    caller: Caller,
    action: Action,
    service: Name,
    time_limit: Duration,
) -> CheckedRequest {
    CheckedRequest {
        id,
        caller,
        service,
        kind: CallKind::Keyed,
        method: String::new(),
        path: String::new(),
        headers: Vec::new(),
        action,
        key: None,
        priority: PRIORITY_DEFAULT,
        time_limit,
        prompt: None,
        body: Bytes::new(),
    }
}
