//! Requests that issue, show and revoke idempotency keys.

use super::codes;
use super::constants::KEYS_LIMIT;
use super::request::{Ask, Caller, PRIORITY_DEFAULT, deadline, read_body};
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

/// Path under which keys stand.
const KEYS_PATH: &str = "/v1/keys";

/// The body of a request for new keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Issue {
    service: String,
    #[serde(default = "one")]
    count: u32,
}

fn one() -> u32 {
    1
}

/// Whether a request for `path` is about keys.
pub(crate) fn is_keys_path(path: &str) -> bool {
    path.strip_prefix(KEYS_PATH).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Checks a request about keys.
pub(crate) async fn keys_request(
    id: u64,
    caller: Caller,
    parts: Parts,
    body: Incoming,
    document: &Document,
) -> Result<Ask, Code> {
    let path = parts.uri.path();
    let rest = path.strip_prefix(KEYS_PATH).and_then(|r| r.strip_prefix('/'));
    let limit = deadline(&parts, KEYS_LIMIT)?;
    let key = rest.filter(|k| !k.is_empty()).map(str::to_owned);
    match (&parts.method, key) {
        (&Method::POST, None) => {
            let issue = serde_json::from_slice::<Issue>(&read_body(body, limit).await?);
            let issue = issue.map_err(|_| codes::KEYS_MALFORMED)?;
            let service = document.services.get_key_value(issue.service.as_str());
            let service = service.ok_or(codes::SERVICE_UNKNOWN)?.0.clone();
            let ask = ask(id, caller, Action::Issue(issue.count), service, limit);
            Ok(Ask { kind: CallKind::Idempotent, ..ask })
        }
        (&Method::GET, Some(key)) => Ok(shown(id, caller, Action::Lookup, key, limit)),
        (&Method::DELETE, Some(key)) => Ok(shown(id, caller, Action::Revoke, key, limit)),
        _ => Err(codes::KEYS_MALFORMED),
    }
}

fn shown(id: u64, caller: Caller, action: Action, key: String, limit: Duration) -> Ask {
    Ask { key: Some(key), ..ask(id, caller, action, Name::new(), limit) }
}

fn ask(id: u64, caller: Caller, action: Action, service: Name, limit: Duration) -> Ask {
    Ask {
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
        limit,
        prompt: None,
        body: Bytes::new(),
    }
}
