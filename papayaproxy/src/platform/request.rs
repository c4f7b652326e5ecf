//! Decodes headers of client requests and builds the headers for replicas.

use super::names::{
    API_KEY, DEADLINE_MS, EXPECTED_REPLICA, LAST_EVENT_ID, PROMPT_PARTS, REQUEST_ID, TOKEN_USAGE,
    URGENCY, WORKSPACE,
};
use crate::base::name::Name;
use crate::gateway::hops::copy_end_to_end;
use crate::gateway::{Envelope, KeyHeader};
use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue};
use std::borrow::Cow;
use std::time::Duration;

/// Urgency of the least urgent requests.
const URGENCY_MAX: u8 = 9;

/// Client headers that are never forwarded unchanged.
const REPLACED_HEADERS: [HeaderName; 6] =
    [API_KEY, WORKSPACE, EXPECTED_REPLICA, DEADLINE_MS, CONTENT_LENGTH, EXPECT];

/// Decodes the headers of a client request. Apart from the key, values that cannot be parsed count
/// as absent.
pub(crate) fn read_envelope(headers: &HeaderMap) -> Envelope {
    let mut keys = headers.get_all(API_KEY).iter();
    let key = match (keys.next(), keys.next()) {
        (None, _) => KeyHeader::Missing,
        (Some(key), None) => {
            key.to_str().map_or(KeyHeader::Unreadable, |k| KeyHeader::One(k.into()))
        }
        _ => KeyHeader::Unreadable,
    };
    let tokens = header_text(headers, &TOKEN_USAGE).and_then(|t| t.split_once(','));
    Envelope {
        id: headers.get(REQUEST_ID).map(id_text).unwrap_or_default().into(),
        key,
        timeout: header_number(headers, &DEADLINE_MS).map(|ms: u64| Duration::from_millis(ms)),
        prompt_tokens: tokens.and_then(|(p, _)| p.trim().parse().ok()).unwrap_or_default(),
        answer_tokens: tokens.and_then(|(_, a)| a.trim().parse().ok()),
        prompt_parts: part_ids(headers),
        last_event: header_number(headers, &LAST_EVENT_ID),
    }
}

/// A request id as text. Bytes that are no visible ASCII are escaped, so that two ids stay two.
pub(crate) fn id_text(value: &HeaderValue) -> Cow<'_, str> {
    match value.to_str() {
        Ok(text) => text.into(),
        Err(_) => value.as_bytes().escape_ascii().to_string().into(),
    }
}

/// Ids of the listed parts, without their tokens. The list may be spread over several headers.
fn part_ids(headers: &HeaderMap) -> Vec<Name> {
    let lists = headers.get_all(PROMPT_PARTS).iter().filter_map(|v| v.to_str().ok());
    let parts = lists.flat_map(|list| list.split(','));
    let ids = parts.map(|part| part.split_once(':').map_or(part, |(id, _)| id).trim());
    ids.filter(|id| !id.is_empty()).map(Name::from).collect()
}

/// Header values that differ between the attempts of one request.
pub(crate) struct AttemptHeaders<'a> {
    /// Id of the replica that the attempt goes to.
    pub(crate) replica: &'a str,
    /// Name of the workspace; `None` if the request has none.
    pub(crate) workspace: Option<&'a str>,
    pub(crate) time_left: Option<Duration>,
    /// Urgency of the request among those of its service; 0 is the most urgent. `None` leaves the header
    /// of the client unchanged.
    pub(crate) urgency: Option<u8>,
    /// Event after which the stream resumes; `None` leaves the header of the client unchanged.
    pub(crate) last_event: Option<u64>,
}

/// Builds the headers for a replica from those of the client.
pub(crate) fn replica_headers(client: &HeaderMap, attempt: &AttemptHeaders<'_>) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(client.len() + 4);
    copy_end_to_end(client, &mut headers, |name| !REPLACED_HEADERS.contains(name));
    set_header(&mut headers, EXPECTED_REPLICA, attempt.replica);
    if let Some(workspace) = attempt.workspace {
        set_header(&mut headers, WORKSPACE, workspace);
    }
    if let Some(left) = attempt.time_left {
        headers.insert(DEADLINE_MS, HeaderValue::from(left.as_millis() as u64));
    }
    if let Some(urgency) = attempt.urgency {
        headers.insert(URGENCY, HeaderValue::from(u16::from(urgency.min(URGENCY_MAX))));
    }
    if let Some(event) = attempt.last_event {
        headers.insert(LAST_EVENT_ID, HeaderValue::from(event));
    }
    headers
}

fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(error) => tracing::warn!(%name, %error, "value is not a valid header value"),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

fn header_number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    header_text(headers, name).and_then(|t| t.trim().parse().ok())
}
