//! Settings of an agent.

use crate::delivery::{self, KeySettings};
use crate::drain::{self, DrainSettings};
use crate::membership;
use crate::settings::{ProcessSettings, Reader, SettingRow, SettingsError};
use crate::settings::{log, process};
use std::net::SocketAddr;
use std::path::Path;

/// Rows of the agent's own settings.
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

/// Every table of settings that an agent reads.
pub const TABLES: &[&[SettingRow]] =
    &[process::ROWS, log::ROWS, ROWS, delivery::SETTINGS, drain::SETTINGS, membership::SETTINGS];

/// The checked settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Common settings.
    pub process: ProcessSettings,
    /// Address of the slot, for links (TCP) and heartbeats (UDP).
    pub address: SocketAddr,
    /// Addresses of some peers.
    pub peers: Vec<SocketAddr>,
    /// Address of the upstream's HTTP service.
    pub target: SocketAddr,
    /// Limits of the key state.
    pub keys: KeySettings,
    /// Times of a planned stop.
    pub drain: DrainSettings,
}

impl AgentSettings {
    /// Reads settings from a file and overrides.
    ///
    /// # Errors
    /// Returns every mistake found.
    pub fn open(file: Option<&Path>, overrides: &[String]) -> Result<Self, SettingsError> {
        Reader::open(file, overrides, TABLES).check(Self::read)
    }

    /// Reads the settings; `None` if one is wrong, which the reader then reports.
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
