//! Settings of an agent.

use crate::delivery::{self, KeySettings};
use crate::drain::{self, DrainSettings};
use crate::membership;
use crate::settings::{ProcessSettings, Reader, SettingRow, SettingsError};
use crate::settings::{log, process};
use std::net::SocketAddr;
use std::path::Path;

/// Settings that only agents have.
pub(crate) const ROWS: &[SettingRow] = &[
    SettingRow {
        section: "agent",
        key: "address",
        default: None,
        meaning: "address and port of the upstream host's slot, as in the fleet document",
    },
    SettingRow {
        section: "upstream",
        key: "address",
        default: None,
        meaning: "address and port of the upstream's HTTP service",
    },
];

/// All setting tables of an agent.
pub const TABLES: &[&[SettingRow]] =
    &[process::ROWS, log::ROWS, ROWS, delivery::SETTINGS, drain::SETTINGS, membership::SETTINGS];

/// Validated settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings common to entries and agents.
    pub process: ProcessSettings,
    /// Address of the slot, for links (TCP) and heartbeats (UDP).
    pub address: SocketAddr,
    /// Addresses of known peers.
    pub peers: Vec<SocketAddr>,
    /// Address of the upstream's HTTP service.
    pub target: SocketAddr,
    /// Limits of the idempotency keys.
    pub keys: KeySettings,
    /// Timing of a graceful stop.
    pub drain: DrainSettings,
}

impl AgentSettings {
    /// Reads settings from a file and overrides.
    ///
    /// # Errors
    /// All invalid settings.
    pub fn open(file: Option<&Path>, overrides: &[String]) -> Result<Self, SettingsError> {
        Reader::open(file, overrides, TABLES).check(Self::read)
    }

    /// Reads the settings; `None` if one is invalid, which the reader reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let process = ProcessSettings::read(reader);
        let address = process::read_address(reader, "agent");
        let peers = membership::read_peers(reader);
        let target = process::read_address(reader, "upstream");
        let keys = KeySettings::read(reader);
        let drain = DrainSettings::read(reader);
        Some(Self {
            process: process?,
            address: address?,
            peers: peers?,
            target: target?,
            keys: keys?,
            drain: drain?,
        })
    }
}
