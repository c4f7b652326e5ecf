//! Decodes upstream records of the store.

use crate::catalog::{UpstreamRecord, UpstreamState};
use serde::Deserialize;
use snafu::Snafu;

/// Why an upstream record is invalid.
#[derive(Debug, Snafu)]
pub(crate) enum RecordError {
    /// The JSON is malformed, or a field is missing or invalid.
    #[snafu(display("{source}"), context(false))]
    Malformed { source: serde_json::Error },
    #[snafu(display("unknown state '{state}'; expected 'ready' or 'draining'"))]
    UnknownState { state: String },
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEntry {
    service: String,
    address: std::net::SocketAddr,
    zone: String,
    slots: u32,
    state: String,
    cold_remaining_ms: Option<f64>,
    /// Start of the replica in Unix milliseconds.
    born: Option<u64>,
}

/// Decodes an upstream record.
///
/// # Errors
/// The record is malformed, or its state is unknown.
pub(crate) fn parse(bytes: &[u8]) -> Result<UpstreamRecord, RecordError> {
    let wire: WireEntry = serde_json::from_slice(bytes)?;
    let state = match wire.state.as_str() {
        "ready" => UpstreamState::Ready,
        "draining" => UpstreamState::Draining,
        other => return Err(RecordError::UnknownState { state: other.to_owned() }),
    };
    Ok(UpstreamRecord {
        service: wire.service.into(),
        address: wire.address,
        zone: wire.zone.into(),
        slots: wire.slots.max(1),
        state,
        cold: wire.cold_remaining_ms.is_some_and(|ms| ms > 0.0),
        started_ms: wire.born.unwrap_or_default(),
    })
}
