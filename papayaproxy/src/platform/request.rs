//! Headers of clients' requests, read and rewritten for replicas.

use super::names::{DEADLINE, EXPECTED_REPLICA, KEY, LAST_EVENT, REQUEST_ID, TOKENS, WORKSPACE};
use crate::gateway::hops::copy_end_to_end;
use crate::gateway::{Envelope, KeyHeader};
use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue};
use std::time::Duration;

/// Headers that are never passed on as the client sent them.
const OWN: [HeaderName; 6] = [KEY, WORKSPACE, EXPECTED_REPLICA, DEADLINE, CONTENT_LENGTH, EXPECT];

/// Reads what a client's headers say of its request.
pub(crate) fn read(headers: &HeaderMap) -> Envelope {
    let mut keys = headers.get_all(KEY).iter();
    let key = match (keys.next(), keys.next()) {
        (None, _) => KeyHeader::Missing,
        (Some(key), None) => {
            key.to_str().map_or(KeyHeader::Unreadable, |k| KeyHeader::One(k.into()))
        }
        _ => KeyHeader::Unreadable,
    };
    let tokens = text(headers, &TOKENS).and_then(|t| t.split_once(','));
    Envelope {
        id: text(headers, &REQUEST_ID).unwrap_or_default().into(),
        key,
        timeout: number(headers, &DEADLINE).map(|ms: u64| Duration::from_millis(ms)),
        prompt_tokens: tokens.and_then(|(p, _)| p.trim().parse().ok()).unwrap_or_default(),
        last_event: number(headers, &LAST_EVENT),
    }
}

/// What changes from send to send of one request.
pub(crate) struct AttemptHeaders<'a> {
    /// Id of the replica.
    pub(crate) replica: &'a str,
    /// Name of the workspace, where the request has one.
    pub(crate) workspace: Option<&'a str>,
    /// Time left.
    pub(crate) time_left: Option<Duration>,
    /// Last event that the client has, where the stream goes on.
    pub(crate) last_event: Option<u64>,
}

/// Makes the headers for a replica from those of the client.
pub(crate) fn rewrite(client: &HeaderMap, attempt: &AttemptHeaders<'_>) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(client.len() + 4);
    copy_end_to_end(client, &mut headers, |name| !OWN.contains(name));
    set(&mut headers, EXPECTED_REPLICA, attempt.replica);
    if let Some(workspace) = attempt.workspace {
        set(&mut headers, WORKSPACE, workspace);
    }
    if let Some(left) = attempt.time_left {
        headers.insert(DEADLINE, HeaderValue::from(left.as_millis() as u64));
    }
    if let Some(event) = attempt.last_event {
        headers.insert(LAST_EVENT, HeaderValue::from(event));
    }
    headers
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(error) => tracing::warn!(%name, %error, "value is no header"),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(headers, name).and_then(|t| t.trim().parse().ok())
}
