//! Decodes upstream records of the store.

use crate::catalog::{UpstreamRecord, UpstreamState};
use serde::Deserialize;
use snafu::Snafu;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Most slots of a replica: it serves one request at a time on a connection, and a TCP port number
/// has 16 bits.
const SLOTS_MAX: u32 = 65_535;

/// Latest start of a replica in Unix milliseconds: the end of the year 9999.
const BORN_MAX: u64 = 253_402_300_799_999;

/// Longest time for which a record may state that its replica is cold; a longer one is taken as this.
const COLD_MAX: Duration = Duration::from_secs(60);

/// Why an upstream record is invalid.
#[derive(Debug, Snafu)]
pub(crate) enum RecordError {
    /// The JSON is malformed, or a field is missing or invalid.
    #[snafu(display("{source}"), context(false))]
    Malformed { source: serde_json::Error },
    #[snafu(display("unknown state '{state}'; expected 'ready' or 'draining'"))]
    UnknownState { state: String },
    #[snafu(display("invalid id '{}'; expected visible ASCII characters", id.escape_debug()))]
    InvalidId { id: String },
    #[snafu(display("invalid address '{address}'; expected a port and the address of one host"))]
    InvalidAddress { address: SocketAddr },
    #[snafu(display("invalid slots {slots}; expected at most {SLOTS_MAX}"))]
    InvalidSlots { slots: u32 },
    #[snafu(display("invalid start {born}; expected at most {BORN_MAX}"))]
    InvalidStart { born: u64 },
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEntry {
    service: String,
    address: SocketAddr,
    zone: String,
    /// Version of the replica's software. Needed in every entry, but not used.
    #[serde(rename = "version")]
    _version: String,
    slots: u32,
    state: String,
    cold_remaining_ms: f64,
    /// Number of writes by the replica. Needed in every entry, but not used.
    #[serde(rename = "sequence")]
    _sequence: u64,
    /// Start of the replica in Unix milliseconds.
    born: Option<u64>,
}

/// Decodes the upstream record that is stored under `id`.
///
/// # Errors
/// The id cannot be that of a replica, or the record is invalid.
pub(crate) fn parse_entry(id: &str, bytes: &[u8]) -> Result<UpstreamRecord, RecordError> {
    // Each request names the id in a header, where other characters cannot stand.
    if id.is_empty() || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(RecordError::InvalidId { id: id.to_owned() });
    }
    parse(bytes)
}

/// Decodes an upstream record.
///
/// # Errors
/// The record is malformed, or one of its values cannot be that of a replica.
pub(crate) fn parse(bytes: &[u8]) -> Result<UpstreamRecord, RecordError> {
    let wire: WireEntry = serde_json::from_slice(bytes)?;
    let state = match wire.state.as_str() {
        "ready" => UpstreamState::Ready,
        "draining" => UpstreamState::Draining,
        other => return Err(RecordError::UnknownState { state: other.to_owned() }),
    };
    let ip = wire.address.ip().to_canonical();
    let is_one_host =
        !ip.is_unspecified() && !ip.is_multicast() && ip != IpAddr::V4(Ipv4Addr::BROADCAST);
    if wire.address.port() == 0 || !is_one_host {
        return Err(RecordError::InvalidAddress { address: wire.address });
    }
    if wire.slots > SLOTS_MAX {
        return Err(RecordError::InvalidSlots { slots: wire.slots });
    }
    // Of two entries at one address the later start counts, so one that cannot be true would take
    // a replica out of use.
    let born = wire.born.unwrap_or_default();
    if born > BORN_MAX {
        return Err(RecordError::InvalidStart { born });
    }
    Ok(UpstreamRecord {
        service: wire.service.into(),
        address: wire.address,
        zone: wire.zone.into(),
        slots: wire.slots.max(1),
        state,
        cold: decode_cold(wire.cold_remaining_ms),
        started_ms: born,
    })
}

fn decode_cold(remaining_ms: f64) -> Duration {
    let time = Duration::try_from_secs_f64(remaining_ms / 1000.0);
    // What is no time is either negative, or too long to be represented.
    let bounded = time.unwrap_or(if remaining_ms > 0.0 { COLD_MAX } else { Duration::ZERO });
    bounded.min(COLD_MAX)
}
