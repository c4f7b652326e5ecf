//! Headers of replicas' answers, and their reports.

use super::names::{LOAD, NOT_RUN, REQUEST_ID, SIGNATURE};
use crate::gateway::Verdict;
use crate::balance::Load;
use hyper::header::{CONTENT_ENCODING, HeaderName};
use hyper::{HeaderMap, StatusCode};
use serde::Deserialize;

/// What a replica's answer says of itself.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// What the status and headers prove.
    pub(crate) verdict: Verdict,
    /// The replica's load, where it tells it.
    pub(crate) load: Option<Load>,
}

/// Reads the head of an answer to the request `id`.
pub(crate) fn read(id: &str, status: StatusCode, headers: &HeaderMap) -> Answer {
    let load = headers.get(LOAD).and_then(|v| v.to_str().ok()).and_then(parse_load);
    Answer { verdict: verdict(id, status, headers), load }
}

fn verdict(id: &str, status: StatusCode, headers: &HeaderMap) -> Verdict {
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

fn parse_load(text: &str) -> Option<Load> {
    let mut parts = text.split(',').map(|p| p.trim().parse().ok());
    let mut next = || parts.next().flatten();
    Some(Load { running: next()?, waiting: next()?, slots: next()? })
}

/// Removes headers from a failure that no longer says what the replica said.
pub(crate) fn signature() -> HeaderName {
    SIGNATURE
}

#[derive(Deserialize)]
struct WireReport {
    group: Option<WireGroup>,
    /// Slowness against the published figures; 1 is usual.
    pace: Option<f64>,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
}

#[derive(Deserialize)]
struct WireGroup {
    #[serde(default)]
    name: String,
    #[serde(default)]
    state: String,
}

/// A replica's report, as far as routing uses it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Report {
    /// Name of the group of ranks that the replica belongs to.
    pub(crate) group: Option<String>,
    /// Whether that group runs passes.
    pub(crate) open: bool,
    /// Slowness against the published figures; 1 is usual.
    pub(crate) pace: f64,
    /// Requests that run and that wait.
    pub(crate) requests: u32,
}

/// Reads a report.
///
/// # Errors
/// What the JSON parser reported.
pub(crate) fn parse_report(body: &[u8]) -> Result<Report, serde_json::Error> {
    let wire: WireReport = serde_json::from_slice(body)?;
    Ok(Report {
        open: wire.group.as_ref().is_none_or(|g| g.state != "broken"),
        group: wire.group.map(|g| g.name),
        pace: wire.pace.filter(|p| p.is_finite() && *p > 0.0).unwrap_or(1.0),
        requests: wire.running + wire.waiting,
    })
}
