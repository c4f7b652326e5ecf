//! Settings of `papaya-agent --direct`, which sends orders to the replica of its own rank.

use crate::base::name::Name;
use crate::gateway::settings::read_seeds;
use crate::settings::process::read_address;
use crate::settings::{LogSettings, Reader, SettingRow, SettingsError, log, parse_name};
use std::net::SocketAddr;
use std::path::Path;

/// Settings of the process, its replica and its datagrams.
pub(crate) const ROWS: &[SettingRow] = &[
    SettingRow { section: "process", key: "name", default: None, meaning: "the process' name" },
    SettingRow { section: "process", key: "zone", default: None, meaning: "its availability zone" },
    SettingRow {
        section: "replica",
        key: "address",
        default: None,
        meaning: "address and port of the model replica on this host",
    },
    SettingRow {
        section: "replica",
        key: "service",
        default: None,
        meaning: "the service that the replica serves",
    },
    SettingRow {
        section: "ranks",
        key: "address",
        default: None,
        meaning: "UDP address and port for messages from entries and the other ranks' agents",
    },
    SettingRow {
        section: "ranks",
        key: "seeds",
        default: Some(""),
        meaning: "addresses of some entries, separated by commas",
    },
];

/// Every table of settings that the agent reads.
pub const TABLES: &[&[SettingRow]] = &[ROWS, log::ROWS];

/// The checked settings.
#[derive(Clone, Debug)]
pub struct RankSettings {
    /// The process' name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Address of the model replica.
    pub replica: SocketAddr,
    /// The service that the replica serves.
    pub service: Name,
    /// UDP address for datagrams from entries and other agents.
    pub address: SocketAddr,
    /// Addresses of entries to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Log settings.
    pub log: LogSettings,
}

impl RankSettings {
    /// Reads the settings from a file and overrides.
    ///
    /// # Errors
    /// Returns every invalid or missing setting.
    pub fn open(file: Option<&Path>, overrides: &[String]) -> Result<Self, SettingsError> {
        Reader::open(file, overrides, TABLES).check(Self::read)
    }

    /// Reads the settings; `None` if one is invalid, which the reader then reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let name = reader.value("process", "name", parse_name);
        let zone = reader.value("process", "zone", parse_name);
        let replica = read_address(reader, "replica");
        let service = reader.value("replica", "service", parse_name);
        let address = read_address(reader, "ranks");
        let seeds = read_seeds(reader, "ranks");
        let log = LogSettings::read(reader);
        Some(Self {
            name: name?,
            zone: zone?,
            replica: replica?,
            service: service?,
            address: address?,
            seeds: seeds.unwrap_or_default(),
            log: log?,
        })
    }
}
