//! Settings of an entry that forwards straight to upstreams.

use crate::balance::budget::BudgetRule;
use crate::base::name::Name;
use crate::settings::process::read_address;
use crate::settings::{
    LogSettings, Reader, SettingRow, SettingsError, log, parse_duration, parse_name,
};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Rows of these settings.
pub(crate) const ROWS: &[SettingRow] = &[
    SettingRow { section: "process", key: "name", default: None, meaning: "the process' name" },
    SettingRow { section: "process", key: "zone", default: None, meaning: "its availability zone" },
    SettingRow {
        section: "gateway",
        key: "address",
        default: None,
        meaning: "address and port for clients",
    },
    SettingRow {
        section: "gateway",
        key: "ready",
        default: None,
        meaning: "address and port at which the balancer asks for readiness",
    },
    SettingRow {
        section: "gateway",
        key: "peers",
        default: None,
        meaning: "address and port for the other entries, UDP and TCP",
    },
    SettingRow {
        section: "gateway",
        key: "seeds",
        default: Some(""),
        meaning: "addresses of some entries, with commas",
    },
    SettingRow {
        section: "ops",
        key: "address",
        default: None,
        meaning: "address and port of /metrics, /status, /live and /ready",
    },
    SettingRow {
        section: "store",
        key: "address",
        default: None,
        meaning: "address and port of the platform's store",
    },
    SettingRow {
        section: "bounds",
        key: "revoke",
        default: Some("5s"),
        meaning: "a duration after which a withdrawn key must not be used",
    },
    SettingRow {
        section: "bounds",
        key: "grace",
        default: Some("8s"),
        meaning: "a duration in which a process has to end after SIGTERM",
    },
    SettingRow {
        section: "budget",
        key: "ratio",
        default: Some("0.2"),
        meaning: "repeats for each request to a service, of all entries together",
    },
    SettingRow {
        section: "budget",
        key: "slack",
        default: Some("90"),
        meaning: "repeats beside these in one window, of all entries together",
    },
    SettingRow {
        section: "budget",
        key: "window",
        default: Some("10s"),
        meaning: "a duration over which repeats are counted",
    },
];

/// Every table of settings that such an entry reads.
pub const TABLES: &[&[SettingRow]] = &[ROWS, log::ROWS];

/// The checked settings.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The process' name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Address for clients.
    pub address: SocketAddr,
    /// Address for the balancer's question.
    pub ready: SocketAddr,
    /// Address for the other entries.
    pub peers: SocketAddr,
    /// Some entries.
    pub seeds: Vec<SocketAddr>,
    /// Address of metrics and status.
    pub ops: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Time after which a withdrawn key must not be used.
    pub revoke: Duration,
    /// Time in which the process has to end after SIGTERM.
    pub grace: Duration,
    /// The budget of repeats.
    pub(crate) budget: BudgetRule,
    /// Settings of the log.
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Reads settings from a file and overrides.
    ///
    /// # Errors
    /// Returns every mistake found.
    pub fn open(file: Option<&Path>, overrides: &[String]) -> Result<Self, SettingsError> {
        Reader::open(file, overrides, TABLES).check(Self::read)
    }

    /// Reads the settings; `None` if one is wrong, which the reader then reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let expected = "an IP address and port such as 127.0.0.1:7400";
        let name = reader.value("process", "name", parse_name);
        let zone = reader.value("process", "zone", parse_name);
        let address = read_address(reader, "gateway");
        let ready = reader.parsed("gateway", "ready", expected);
        let peers = reader.parsed("gateway", "peers", expected);
        let seeds = read_seeds(reader, "gateway");
        let ops = read_address(reader, "ops");
        let store = read_address(reader, "store");
        let revoke = reader.value("bounds", "revoke", parse_duration);
        let grace = reader.value("bounds", "grace", parse_duration);
        let ratio = reader.value("budget", "ratio", parse_amount);
        let slack = reader.value("budget", "slack", parse_amount);
        let window = reader.value("budget", "window", parse_duration);
        let log = LogSettings::read(reader);
        Some(Self {
            name: name?,
            zone: zone?,
            address: address?,
            ready: ready?,
            peers: peers?,
            seeds: seeds.unwrap_or_default(),
            ops: ops?,
            store: store?,
            revoke: revoke?,
            grace: grace?,
            budget: BudgetRule { ratio: ratio?, slack: slack?, window: window? },
            log: log?,
        })
    }
}

/// Reads the addresses of some entries.
pub(crate) fn read_seeds(reader: &mut Reader, section: &str) -> Option<Vec<SocketAddr>> {
    reader.value(section, "seeds", |text| {
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        let seeds = parts.map(str::parse).collect::<Result<_, _>>();
        seeds.map_err(|_| "IP addresses and ports with commas".to_owned())
    })
}

fn parse_amount(text: &str) -> Result<f64, String> {
    let amount = text.parse().ok().filter(|a: &f64| a.is_finite() && *a >= 0.0);
    amount.ok_or_else(|| "a number from 0".to_owned())
}
