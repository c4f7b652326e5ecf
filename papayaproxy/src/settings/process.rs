//! Settings shared by entries and agents: identity, threads, link keys and addresses.

use super::log::LogSettings;
use super::reader::{Reader, SettingRow};
use super::value::parse_name;
use crate::base::name::{Incarnation, Name};
use crate::wire::{Identity, Secret, Secrets};
use std::net::SocketAddr;

/// Rows of the shared settings.
pub(crate) const ROWS: &[SettingRow] = &[
    SettingRow {
        section: "process",
        key: "name",
        default: None,
        meaning: "name of the process, unique in the fleet",
    },
    SettingRow {
        section: "process",
        key: "zone",
        default: None,
        meaning: "availability zone of the host",
    },
    SettingRow {
        section: "process",
        key: "threads",
        default: Some("2"),
        meaning: "threads for traffic, 1 to 256",
    },
    SettingRow {
        section: "link",
        key: "key",
        default: None,
        meaning: "key that seals what this process sends, as id:64-hex-digits",
    },
    SettingRow {
        section: "link",
        key: "other_key",
        default: Some(""),
        meaning: "second key that is accepted while the key is rolled, as id:64-hex-digits",
    },
    SettingRow {
        section: "ops",
        key: "address",
        default: None,
        meaning: "address and port of /live, /ready, /status and /metrics",
    },
    SettingRow {
        section: "platform",
        key: "address",
        default: None,
        meaning: "address and port of the platform's service",
    },
    SettingRow { section: "log", key: "format", default: Some("text"), meaning: "text or json" },
];

/// Maximum number of traffic threads.
const THREADS_MAX: usize = 256;

/// The validated shared settings.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Name of the process, unique in the fleet.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Number of traffic threads, 1 to 256.
    pub threads: usize,
    /// Keys that seal and open messages between processes.
    pub secrets: Secrets,
    /// Listen address of the operators' endpoint.
    pub ops: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Log settings.
    pub log: LogSettings,
}

impl ProcessSettings {
    /// Reads the shared settings; `None` if one is invalid, which the reader reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let name = reader.value("process", "name", parse_name);
        let zone = reader.value("process", "zone", parse_name);
        let threads = reader.value("process", "threads", parse_threads);
        let secrets = read_secrets(reader);
        let ops = read_address(reader, "ops");
        let platform = read_address(reader, "platform");
        let log = LogSettings::read(reader);
        Some(Self {
            name: name?,
            zone: zone?,
            threads: threads?,
            secrets: secrets?,
            ops: ops?,
            platform: platform?,
            log: log?,
        })
    }

    /// Creates an identity with a new incarnation.
    pub fn identity(&self) -> Identity {
        Identity { name: self.name.clone(), incarnation: Incarnation::generate() }
    }
}

/// Reads the key `address` of a section.
pub(crate) fn read_address(reader: &mut Reader, section: &str) -> Option<SocketAddr> {
    reader.parsed(section, "address", "an IP address and port such as 127.0.0.1:7400")
}

fn parse_threads(text: &str) -> Result<usize, String> {
    let threads = text.parse().ok().filter(|n| (1..=THREADS_MAX).contains(n));
    threads.ok_or_else(|| format!("a number from 1 to {THREADS_MAX}"))
}

/// Reads the link keys. Error messages never contain their text, because it is secret.
fn read_secrets(reader: &mut Reader) -> Option<Secrets> {
    let current = read_secret(reader, "key");
    let other = read_secret(reader, "other_key");
    let (current, other) = (current?, other);
    if other.as_ref().is_some_and(|o| o.id == current.id) {
        let detail = "the keys must have different ids".to_owned();
        reader.report(super::codes::VALUE_CLASH, "link", "other_key", detail);
        return None;
    }
    Some(Secrets { current, other })
}

fn read_secret(reader: &mut Reader, key: &str) -> Option<Secret> {
    let text = reader.value("link", key, |text| Ok(text.to_owned()))?;
    match Secret::parse(&text) {
        Ok(secret) => Some(secret),
        Err(error) => {
            reader.report(super::codes::VALUE_INVALID, "link", key, error.to_string());
            None
        }
    }
}
