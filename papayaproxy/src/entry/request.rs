//! A caller's request, checked.

use super::codes;
use super::constants::{OUTPUT_TOKENS_EXPECTED, TOKEN_BYTES};
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

/// Path under which services stand.
pub(crate) const SERVICES_PATH: &str = "/v1/services/";

/// Headers that an entry reads itself and does not pass on.
const OWN_HEADERS: [&str; 7] = [
    // The body may be changed, and the client states its length anew.
    "content-length",
    "papaya-workspace",
    "papaya-deadline",
    "papaya-priority",
    "papaya-request",
    "authorization",
    "idempotency-key",
];

/// Header that carries an issued key.
pub(crate) const KEY_HEADER: &str = "idempotency-key";

/// Priority of a request that names none.
pub(crate) const PRIORITY_DEFAULT: u8 = 5;

/// Highest priority.
const PRIORITY_MAX: u8 = 9;

/// The workspace that a request was proved to come from.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) workspace: Name,
    pub(crate) share: u32,
}

/// A checked request to a service.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
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
    /// Time allowed for the whole answer.
    pub(crate) limit: Duration,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) body: Bytes,
}

/// What routing uses of a model request.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) model: ModelKey,
    pub(crate) version: u32,
    pub(crate) adapter: Option<Name>,
    pub(crate) prefix: Vec<u64>,
    pub(crate) tokens: u32,
    pub(crate) output: u32,
}

/// The fields of a model request that an entry reads; the others pass through.
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
pub(crate) fn authenticate(parts: &Parts, document: &Document) -> Result<Caller, Code> {
    let name = header(parts, "papaya-workspace").filter(|n| is_name(n));
    let name = name.ok_or(codes::WORKSPACE_MISSING)?;
    let bearer = parts.headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let credential = bearer.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or("");
    let found = document.workspaces.get_key_value(name);
    let (workspace, entry) = found.ok_or(codes::CREDENTIAL_WRONG)?;
    if credential_digest(credential) != entry.credential {
        return Err(codes::CREDENTIAL_WRONG);
    }
    Ok(Caller { workspace: workspace.clone(), share: entry.share.max(1) })
}

/// Checks a request to a service. The body is read to its end.
pub(crate) async fn check(
    id: u64,
    caller: Caller,
    parts: Parts,
    body: Incoming,
    document: &Document,
) -> Result<Ask, Code> {
    let (service, path) = split_path(&parts)?;
    let (service, entry) =
        document.services.get_key_value(service).ok_or(codes::SERVICE_UNKNOWN)?;
    let limit = deadline(&parts, entry.deadline)?;
    let priority = priority(&parts)?;
    // A repeated call of an idempotent service needs no key, and is routed like any other.
    let key = header(&parts, KEY_HEADER).filter(|_| !entry.idempotent).map(str::to_owned);
    let kind = match (entry.idempotent, &key) {
        (true, _) => CallKind::Idempotent,
        (false, Some(_)) => CallKind::Keyed,
        (false, None) => CallKind::Single,
    };
    let mut headers = end_to_end_headers(&parts.headers);
    headers.retain(|h| !OWN_HEADERS.contains(&h.name.as_str()));
    let mut body = read_body(body, limit).await?;
    let prompt = match &entry.kind {
        Kind::Model(model) => Some(read_prompt(&caller.workspace, model, document, &mut body)?),
        Kind::Plain => None,
    };
    Ok(Ask {
        id,
        service: service.clone(),
        kind,
        method: parts.method.as_str().to_owned(),
        path,
        headers,
        action: Action::Call,
        key,
        priority,
        limit,
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

fn header<'a>(parts: &'a Parts, name: &str) -> Option<&'a str> {
    parts.headers.get(name).and_then(|v| v.to_str().ok())
}

/// Time allowed for the whole answer; `usual` where the caller names none.
pub(crate) fn deadline(parts: &Parts, usual: Duration) -> Result<Duration, Code> {
    let Some(value) = parts.headers.get("papaya-deadline") else {
        return Ok(usual);
    };
    let text = value.to_str().ok();
    let limit = text.and_then(|t| humantime::parse_duration(t).ok());
    let range = Duration::from_millis(1)..=DEADLINE_MAX;
    limit.filter(|l| range.contains(l)).ok_or(codes::DEADLINE_INVALID)
}

fn priority(parts: &Parts) -> Result<u8, Code> {
    let Some(value) = parts.headers.get("papaya-priority") else {
        return Ok(PRIORITY_DEFAULT);
    };
    let number = value.to_str().ok().and_then(|t| t.parse().ok());
    number.filter(|p| *p <= PRIORITY_MAX).ok_or(codes::PRIORITY_INVALID)
}

/// Reads the whole body of a request within `limit`.
///
/// # Errors
/// A body that is too large, ends early or does not come in time.
pub(crate) async fn read_body(body: Incoming, limit: Duration) -> Result<Bytes, Code> {
    let collected = timeout(limit, Limited::new(body, BODY_BYTES_MAX).collect()).await;
    let collected = collected.map_err(|_| DEADLINE_BEFORE_SEND)?;
    let collected = collected.map_err(|error| {
        let oversized = error.downcast_ref::<LengthLimitError>().is_some();
        if oversized { codes::BODY_OVERSIZED } else { codes::BODY_BROKEN }
    });
    Ok(collected?.to_bytes())
}

/// Reads what routing needs of a model request, and names model and version in the body where
/// the caller has left them out.
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
        tokens: text.len().div_ceil(TOKEN_BYTES) as u32,
        output: completion.max_tokens.unwrap_or(OUTPUT_TOKENS_EXPECTED),
    };
    if completion.model.is_none() || completion.version.is_none() {
        *body = name_model(body, model, version)?;
    }
    Ok(prompt)
}

fn name_model(body: &[u8], model: &Name, version: u32) -> Result<Bytes, Code> {
    let malformed = |_| codes::COMPLETION_MALFORMED;
    let mut fields: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).map_err(malformed)?;
    fields.insert("model".to_owned(), model.as_str().into());
    fields.insert("version".to_owned(), version.into());
    serde_json::to_vec(&fields).map(Bytes::from).map_err(malformed)
}
