//! Reads a replica's entry in the store.

use crate::catalog::{UpstreamRecord, UpstreamState};
use serde::Deserialize;
use snafu::Snafu;

/// Why an entry names no replica.
#[derive(Debug, Snafu)]
pub(crate) enum EntryError {
    /// Bytes or fields that cannot be read.
    #[snafu(display("{source}"), context(false))]
    Unreadable { source: serde_json::Error },
    /// A state that is not known here.
    #[snafu(display("unknown state '{state}'"))]
    State { state: String },
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
    /// Unix milliseconds of the replica's start.
    born: Option<u64>,
}

/// Reads an entry.
///
/// # Errors
/// What is wrong with it.
pub(crate) fn parse(bytes: &[u8]) -> Result<UpstreamRecord, EntryError> {
    let wire: WireEntry = serde_json::from_slice(bytes)?;
    let state = match wire.state.as_str() {
        "ready" => UpstreamState::Ready,
        "draining" => UpstreamState::Draining,
        other => return Err(EntryError::State { state: other.to_owned() }),
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
