//! Settings of an entry.

use crate::drain::{self, DrainSettings};
use crate::limits;
use crate::membership;
use crate::routing;
use crate::settings::{ProcessSettings, Reader, SettingRow, SettingsError, log, process};
use std::net::SocketAddr;
use std::path::Path;

/// Upper bound of the setting `entry.capacity`.
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
        meaning: "requests that run concurrently, 1 to 1048576",
    },
];

/// All settings tables that an entry reads.
pub const TABLES: &[&[SettingRow]] = &[
    process::ROWS,
    log::ROWS,
    ROWS,
    routing::SETTINGS,
    limits::SETTINGS,
    drain::SETTINGS,
    membership::SETTINGS,
];

/// Validated settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Settings that all processes share.
    pub process: ProcessSettings,
    /// Address for callers' HTTP (TCP) and peers' heartbeats (UDP).
    pub address: SocketAddr,
    /// Requests that run concurrently, 1 to 1048576.
    pub capacity: u32,
    /// Addresses of known peers; others are found through the platform and the fleet document.
    pub peers: Vec<SocketAddr>,
    /// Settings of routing and of its circuits.
    pub routing: routing::Settings,
    /// Durations of a graceful stop.
    pub drain: DrainSettings,
}

impl EntrySettings {
    /// Reads the settings from a file, then applies the overrides.
    ///
    /// # Errors
    /// Returns all invalid settings.
    pub fn open(file: Option<&Path>, overrides: &[String]) -> Result<Self, SettingsError> {
        Reader::open(file, overrides, TABLES).check(Self::read)
    }

    /// Reads the settings. `None` if any is invalid; the reader collects the errors.
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
