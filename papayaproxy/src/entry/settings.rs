//! Settings of an entry.

use crate::drain::{self, DrainSettings};
use crate::limits;
use crate::membership;
use crate::routing;
use crate::settings::{ProcessSettings, Reader, SettingRow, SettingsError, log, process};
use std::net::SocketAddr;
use std::path::Path;

/// Most requests that an entry may be set to run at a time.
const CAPACITY_MAX: u32 = 1 << 20;

/// Rows of the entry's own settings.
pub(crate) const ROWS: &[SettingRow] = &[
    SettingRow {
        section: "entry",
        key: "address",
        default: None,
        meaning: "address and port for callers, and for peers' heartbeats (UDP)",
    },
    SettingRow {
        section: "entry",
        key: "capacity",
        default: Some("4096"),
        meaning: "requests that run at a time, 1 to 1048576",
    },
];

/// Every table of settings that an entry reads.
pub const TABLES: &[&[SettingRow]] = &[
    process::ROWS,
    log::ROWS,
    ROWS,
    routing::SETTINGS,
    limits::SETTINGS,
    drain::SETTINGS,
    membership::SETTINGS,
];

/// The checked settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Common settings.
    pub process: ProcessSettings,
    /// Address for callers.
    pub address: SocketAddr,
    /// Requests that run at a time.
    pub capacity: u32,
    /// Addresses of some peers.
    pub peers: Vec<SocketAddr>,
    /// Settings of routing.
    pub routing: routing::Settings,
    /// Times of a planned stop.
    pub drain: DrainSettings,
}

impl EntrySettings {
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
        let address = process::read_address(reader, "entry");
        let capacity = reader.value("entry", "capacity", parse_capacity);
        let peers = membership::read_peers(reader);
        let routing = routing::Settings::read(reader);
        let drain = DrainSettings::read(reader);
        Some(Self {
            process: process?,
            address: address?,
            capacity: capacity?,
            peers: peers?,
            routing: routing?,
            drain: drain?,
        })
    }
}

fn parse_capacity(text: &str) -> Result<u32, String> {
    let capacity = text.parse().ok().filter(|n| (1..=CAPACITY_MAX).contains(n));
    capacity.ok_or_else(|| format!("a number from 1 to {CAPACITY_MAX}"))
}
