//! Settings of the console.

use crate::base::digest::Digest;
use crate::base::name::Name;
use crate::settings::process::read_address;
use crate::settings::{LogSettings, Reader, SettingRow, SettingsError, log, parse_name};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::path::Path;

/// Settings of the console and of the platform it reads.
pub(crate) const ROWS: &[SettingRow] = &[
    SettingRow {
        section: "console",
        key: "address",
        default: Some("127.0.0.1:7390"),
        meaning: "address and port of the console; terminate TLS in front of it for access from other hosts",
    },
    SettingRow {
        section: "console",
        key: "operators",
        default: None,
        meaning: "operators as NAME:DIGEST, separated by commas; the digest is the first 32 \
                  hexadecimal digits of the credential's BLAKE3 hash",
    },
    SettingRow {
        section: "console",
        key: "processes",
        default: Some(""),
        meaning: "operators' endpoints of entries and agents, separated by commas",
    },
    SettingRow {
        section: "platform",
        key: "address",
        default: None,
        meaning: "address and port of the platform's service",
    },
];

/// All tables of settings that the console reads.
pub const TABLES: &[&[SettingRow]] = &[ROWS, log::ROWS];

/// The checked settings of the console.
#[derive(Clone, Debug)]
pub struct ConsoleSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Operators' endpoints of the processes to show.
    pub processes: Vec<SocketAddr>,
    /// Digest of the credential of each operator.
    pub operators: IndexMap<Name, Digest>,
    /// Settings of the log.
    pub log: LogSettings,
}

impl ConsoleSettings {
    /// Reads settings from a file and overrides.
    ///
    /// # Errors
    /// Returns all invalid settings.
    pub fn open(file: Option<&Path>, overrides: &[String]) -> Result<Self, SettingsError> {
        Reader::open(file, overrides, TABLES).check(Self::read)
    }

    /// Reads the settings; `None` if one is invalid; the reader reports it.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let address = read_address(reader, "console");
        let platform = read_address(reader, "platform");
        let processes = reader.value("console", "processes", parse_addresses);
        let operators = reader.value("console", "operators", parse_operators);
        let log = LogSettings::read(reader);
        Some(Self {
            address: address?,
            platform: platform?,
            processes: processes.unwrap_or_default(),
            operators: operators?,
            log: log?,
        })
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    let addresses: Result<Vec<SocketAddr>, _> = parts.map(str::parse).collect();
    addresses.map_err(|_| "IP addresses with ports, separated by commas".into())
}

fn parse_operators(text: &str) -> Result<IndexMap<Name, Digest>, String> {
    let expected = "operators as NAME:DIGEST, separated by commas";
    let parse_one = |part: &str| {
        let (name, digest) = part.split_once(':')?;
        Some((parse_name(name).ok()?, Digest::parse(digest)?))
    };
    let operators: Option<IndexMap<_, _>> = text.split(',').map(|p| parse_one(p.trim())).collect();
    operators.filter(|o| !o.is_empty()).ok_or_else(|| expected.to_owned())
}
