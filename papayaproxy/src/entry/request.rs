//! Authenticates and validates callers' requests.

use super::codes;
use super::constants::{BYTES_PER_TOKEN, OUTPUT_TOKENS_DEFAULT};
use crate::agent::client::end_to_end_headers;
use crate::base::code::Code;
use crate::base::constants::{BODY_BYTES_MAX, DEADLINE_MAX};
use crate::base::name::{Name, is_name};
use crate::delivery::CallKind;
use crate::delivery::codes::DEADLINE_BEFORE_SEND;
use crate::fleet::{Document, Kind, credential_digest};
use crate::routing::{ModelKey, prompt_blocks};
use crate::wire::{Action, Header};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::http::request::Parts;
use serde::Deserialize;
use std::time::Duration;
use tokio::time::timeout;

/// Path prefix of services.
pub(crate) const SERVICES_PATH: &str = "/v1/services/";

/// Headers that an entry consumes and does not forward.
const OWN_HEADERS: [&str; 7] = [
    // The body may change; the HTTP client sets the length of what it sends.
    "content-length",
    "papaya-workspace",
    "papaya-deadline",
    "papaya-priority",
    "papaya-request",
    "authorization",
    "idempotency-key",
];

/// Header with an issued key.
pub(crate) const KEY_HEADER: &str = "idempotency-key";

/// Priority of a request without the header `papaya-priority`.
pub(crate) const PRIORITY_DEFAULT: u8 = 5;

/// Highest priority, the most urgent one.
const PRIORITY_MAX: u8 = 9;

/// Authenticated workspace of a request, with its relative share under contention.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) workspace: Name,
    pub(crate) share: u32,
}

/// A validated request to a service or to the key API.
#[derive(Clone, Debug)]
pub(crate) struct CheckedRequest {
    pub(crate) id: u64,
    pub(crate) caller: Caller,
    pub(crate) service: Name,
    pub(crate) kind: CallKind,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) action: Action,
    pub(crate) key: Option<String>,
    pub(crate) priority: u8,
    /// Time until the complete answer is due.
    pub(crate) time_limit: Duration,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) body: Bytes,
}

/// Inputs of routing from a model request.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) model: ModelKey,
    pub(crate) version: u32,
    pub(crate) adapter: Option<Name>,
    pub(crate) prefix: Vec<u64>,
    pub(crate) tokens: u32,
    pub(crate) output_tokens: u32,
}

/// Fields of a model request that an entry reads; the others are forwarded unread.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Completion<'a> {
    #[serde(borrow)]
    model: Option<std::borrow::Cow<'a, str>>,
    version: Option<u32>,
    #[serde(borrow)]
    adapter: Option<std::borrow::Cow<'a, str>>,
    #[serde(borrow)]
    prompt: std::borrow::Cow<'a, str>,
    max_tokens: Option<u32>,
}

/// Finds the workspace of a request and checks its credential.
///
/// # Errors
/// The workspace header is missing or invalid, or the credential does not match.
pub(crate) fn authenticate(parts: &Parts, document: &Document) -> Result<Caller, Code> {
    let name = header_text(parts, "papaya-workspace").filter(|n| is_name(n));
    let name = name.ok_or(codes::WORKSPACE_MISSING)?;
    let bearer = parts.headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let credential = bearer.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or("");
    let found = document.workspaces.get_key_value(name);
    let (workspace, spec) = found.ok_or(codes::CREDENTIAL_WRONG)?;
    if credential_digest(credential) != spec.credential {
        return Err(codes::CREDENTIAL_WRONG);
    }
    Ok(Caller { workspace: workspace.clone(), share: spec.share.max(1) })
}

/// Checks a request to a service and reads its whole body.
///
/// # Errors
/// The path, a header or the body is invalid, or the body does not arrive in time.
pub(crate) async fn check_request(
    id: u64,
    caller: Caller,
    parts: Parts,
    body: Incoming,
    document: &Document,
) -> Result<CheckedRequest, Code> {
    let (service, path) = split_path(&parts)?;
    let (service, spec) = document.services.get_key_value(service).ok_or(codes::SERVICE_UNKNOWN)?;
    let time_limit = read_deadline(&parts, spec.deadline)?;
    let priority = read_priority(&parts)?;
    // Calls to an idempotent service can be retried without a key, so a key is ignored.
    let key = header_text(&parts, KEY_HEADER).filter(|_| !spec.idempotent).map(str::to_owned);
    let kind = match (spec.idempotent, &key) {
        (true, _) => CallKind::Idempotent,
        (false, Some(_)) => CallKind::Keyed,
        (false, None) => CallKind::NonIdempotent,
    };
    let mut headers = end_to_end_headers(&parts.headers);
    headers.retain(|h| !OWN_HEADERS.contains(&h.name.as_str()));
    let mut body = read_body(body, time_limit).await?;
    let prompt = match &spec.kind {
        Kind::Model(model) => Some(read_prompt(&caller.workspace, model, document, &mut body)?),
        Kind::Plain => None,
    };
    Ok(CheckedRequest {
        id,
        service: service.clone(),
        kind,
        method: parts.method.as_str().to_owned(),
        path,
        headers,
        action: Action::Call,
        key,
        priority,
        time_limit,
        prompt,
        body,
        caller,
    })
}

fn split_path(parts: &Parts) -> Result<(&str, String), Code> {
    let rest = parts.uri.path().strip_prefix(SERVICES_PATH).ok_or(codes::PATH_UNKNOWN)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let path = match parts.uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok((service, path))
}

fn header_text<'a>(parts: &'a Parts, name: &str) -> Option<&'a str> {
    parts.headers.get(name).and_then(|v| v.to_str().ok())
}

/// Deadline that the caller states, relative to now; `default` if it states none.
pub(crate) fn read_deadline(parts: &Parts, default: Duration) -> Result<Duration, Code> {
    let Some(value) = parts.headers.get("papaya-deadline") else {
        return Ok(default);
    };
    let text = value.to_str().ok();
    let time_limit = text.and_then(|t| humantime::parse_duration(t).ok());
    let range = Duration::from_millis(1)..=DEADLINE_MAX;
    time_limit.filter(|l| range.contains(l)).ok_or(codes::DEADLINE_INVALID)
}

fn read_priority(parts: &Parts) -> Result<u8, Code> {
    let Some(value) = parts.headers.get("papaya-priority") else {
        return Ok(PRIORITY_DEFAULT);
    };
    let number = value.to_str().ok().and_then(|t| t.parse().ok());
    number.filter(|p| *p <= PRIORITY_MAX).ok_or(codes::PRIORITY_INVALID)
}

/// Reads the whole body of a request within `time_limit`.
///
/// # Errors
/// The body is too large, ends early or does not arrive in time.
pub(crate) async fn read_body(body: Incoming, time_limit: Duration) -> Result<Bytes, Code> {
    let collected = timeout(time_limit, Limited::new(body, BODY_BYTES_MAX).collect()).await;
    let collected = collected.map_err(|_| DEADLINE_BEFORE_SEND)?;
    let collected = collected.map_err(|error| {
        let oversized = error.downcast_ref::<LengthLimitError>().is_some();
        if oversized { codes::BODY_OVERSIZED } else { codes::BODY_BROKEN }
    });
    Ok(collected?.to_bytes())
}

/// Reads the inputs of routing from a model request, and adds the model and version to the body if
/// the caller left either out.
fn read_prompt(
    workspace: &str,
    model: &Name,
    document: &Document,
    body: &mut Bytes,
) -> Result<Prompt, Code> {
    let version = document.models.get(model).map_or(0, |m| m.version);
    let completion: Completion<'_> =
        serde_json::from_slice(body).map_err(|_| codes::COMPLETION_MALFORMED)?;
    if completion.model.as_ref().is_some_and(|m| **m != **model) {
        return Err(codes::MODEL_FOREIGN);
    }
    let version = completion.version.unwrap_or(version);
    let key = ModelKey::new(model, version, completion.adapter.as_deref());
    let text = completion.prompt.as_bytes();
    let prompt = Prompt {
        model: key,
        version,
        adapter: completion.adapter.as_deref().map(Name::from),
        prefix: prompt_blocks(workspace, key, text),
        tokens: text.len().div_ceil(BYTES_PER_TOKEN) as u32,
        output_tokens: completion.max_tokens.unwrap_or(OUTPUT_TOKENS_DEFAULT),
    };
    if completion.model.is_none() || completion.version.is_none() {
        *body = insert_model(body, model, version)?;
    }
    Ok(prompt)
}

fn insert_model(body: &[u8], model: &Name, version: u32) -> Result<Bytes, Code> {
    let malformed = |_| codes::COMPLETION_MALFORMED;
    let mut fields: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).map_err(malformed)?;
    fields.insert("model".to_owned(), model.as_str().into());
    fields.insert("version".to_owned(), version.into());
    serde_json::to_vec(&fields).map(Bytes::from).map_err(malformed)
}
