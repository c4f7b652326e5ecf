//! Settings of an entry that forwards directly to upstreams.

use crate::balance::WarmUpRule;
use crate::balance::budget::BudgetRule;
use crate::base::name::Name;
use crate::settings::process::read_address;
use crate::settings::{
    LogSettings, Reader, SettingRow, SettingsError, log, parse_duration, parse_name,
};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Least memory of a host, in megabytes.
const MEMORY_MIN: f64 = 32.0;

pub(crate) const ROWS: &[SettingRow] = &[
    SettingRow { section: "process", key: "name", default: None, meaning: "name of the process" },
    SettingRow {
        section: "process",
        key: "zone",
        default: None,
        meaning: "availability zone of the process",
    },
    SettingRow {
        section: "gateway",
        key: "address",
        default: None,
        meaning: "listen address and port for clients",
    },
    SettingRow {
        section: "gateway",
        key: "ready",
        default: None,
        meaning: "listen address and port of the readiness endpoint for the load balancer",
    },
    SettingRow {
        section: "gateway",
        key: "peers",
        default: None,
        meaning: "listen address and port for the other entries, UDP and TCP",
    },
    SettingRow {
        section: "gateway",
        key: "seeds",
        default: Some(""),
        meaning: "comma-separated addresses of some other entries",
    },
    SettingRow {
        section: "ops",
        key: "address",
        default: None,
        meaning: "listen address and port of /metrics, /status, /live and /ready",
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
        meaning: "duration after which a revoked key must no longer be accepted",
    },
    SettingRow {
        section: "bounds",
        key: "grace",
        default: Some("8s"),
        meaning: "duration within which the process must exit after SIGTERM",
    },
    SettingRow {
        section: "bounds",
        key: "drain",
        default: Some("2s"),
        meaning: "duration after which an upstream that leaves must get no request",
    },
    SettingRow {
        section: "bounds",
        key: "event_delay",
        default: Some("0s"),
        meaning: "duration within which an event of a stream must be passed on; part of it is used to even out the gaps between events, 0s passes each on at once",
    },
    SettingRow {
        section: "bounds",
        key: "evacuate",
        default: Some("0s"),
        meaning: "duration after which an availability zone that the operator evacuates must get no request; 0s does not read evacuations",
    },
    SettingRow {
        section: "admission",
        key: "by_load",
        default: Some("false"),
        meaning: "true to refuse what a service can't serve on time by the load that its agents report, the least urgent first",
    },
    SettingRow {
        section: "warmup",
        key: "ratio",
        default: Some("0"),
        meaning: "most requests to a cold upstream in one second, over all entries together, as a multiple of what its service states; 0 sets no limit",
    },
    SettingRow {
        section: "warmup",
        key: "slack",
        default: Some("0"),
        meaning: "additional requests to a cold upstream in one second, over all entries together",
    },
    SettingRow {
        section: "host",
        key: "memory",
        default: Some("0"),
        meaning: "memory of the host in megabytes (1,048,576 bytes), 0 or at least 32: bounds of buffered bodies, of what is held for clients and of socket buffers follow from it; 0 bounds only buffered bodies, at 24",
    },
    SettingRow {
        section: "retry_after",
        key: "coordinated",
        default: Some("false"),
        meaning: "true if entries choose Retry-After times for which they expect free seats, and tell each other what they have promised",
    },
    SettingRow {
        section: "budget",
        key: "ratio",
        default: Some("0.2"),
        meaning: "retries allowed per request to a service, over all entries together",
    },
    SettingRow {
        section: "budget",
        key: "slack",
        default: Some("90"),
        meaning: "additional retries allowed per window, over all entries together",
    },
    SettingRow {
        section: "budget",
        key: "window",
        default: Some("10s"),
        meaning: "duration over which retries are counted",
    },
    SettingRow {
        section: "budget",
        key: "first_run",
        default: Some("false"),
        meaning: "true if no earlier process of the fleet may have used the budget: the first \
                  window needs no caution",
    },
];

/// All settings tables of `papaya-entry --direct`.
pub const TABLES: &[&[SettingRow]] = &[ROWS, log::ROWS];

/// Validated settings.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Process name, for logs and status.
    pub name: Name,
    /// Availability zone of the process.
    pub zone: Name,
    /// Listen address for clients.
    pub address: SocketAddr,
    /// Listen address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Listen address for other entries, UDP and TCP.
    pub peers: SocketAddr,
    /// Addresses of some other entries to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Listen address of metrics and status.
    pub ops: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time after which a revoked key must not be accepted.
    pub revoke: Duration,
    /// Time within which the process must exit after SIGTERM.
    pub grace: Duration,
    /// Time after which an upstream that leaves must get no request.
    pub drain: Duration,
    /// Time within which an event of a stream must be passed on.
    pub event_delay: Duration,
    /// Time after which an evacuated availability zone must get no request; zero if evacuations are
    /// not read.
    pub(crate) evacuate: Duration,
    /// Whether requests are admitted by the load that agents report.
    pub(crate) by_load: bool,
    /// Limit of requests to cold upstreams.
    pub(crate) warmup: WarmUpRule,
    /// Memory of the host in megabytes; zero if it is not stated.
    pub(crate) memory: f64,
    /// Whether entries coordinate the times at which refused clients return.
    pub(crate) coordinated: bool,
    /// Retry budget.
    pub(crate) budget: BudgetRule,
    /// Log settings.
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Reads settings from a file and overrides.
    ///
    /// # Errors
    /// Returns all errors found.
    pub fn open(file: Option<&Path>, overrides: &[String]) -> Result<Self, SettingsError> {
        Reader::open(file, overrides, TABLES).check(Self::read)
    }

    /// Reads the settings. Returns `None` if a value is invalid; the reader reports it.
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
        let drain = reader.value("bounds", "drain", parse_duration);
        let event_delay = reader.value("bounds", "event_delay", parse_duration);
        let evacuate = reader.value("bounds", "evacuate", parse_duration);
        let warm_ratio = reader.value("warmup", "ratio", parse_amount);
        let warm_slack = reader.value("warmup", "slack", parse_amount);
        let by_load = reader.value("admission", "by_load", parse_flag);
        let memory = reader.value("host", "memory", parse_memory);
        let coordinated = reader.value("retry_after", "coordinated", parse_flag);
        let ratio = reader.value("budget", "ratio", parse_amount);
        let slack = reader.value("budget", "slack", parse_amount);
        let window = reader.value("budget", "window", parse_duration);
        let is_first = reader.value("budget", "first_run", parse_flag);
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
            drain: drain?,
            event_delay: event_delay?,
            evacuate: evacuate?,
            by_load: by_load?,
            warmup: WarmUpRule { ratio: warm_ratio?, slack: warm_slack? },
            memory: memory?,
            coordinated: coordinated?,
            budget: BudgetRule {
                ratio: ratio?,
                slack: slack?,
                window: window?,
                is_first: is_first?,
            },
            log: log?,
        })
    }
}

/// Reads a comma-separated list of addresses.
pub(crate) fn read_seeds(reader: &mut Reader, section: &str) -> Option<Vec<SocketAddr>> {
    reader.value(section, "seeds", |text| {
        let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
        let seeds = parts.map(str::parse).collect::<Result<_, _>>();
        seeds.map_err(|_| "comma-separated IP addresses with ports".to_owned())
    })
}

fn parse_flag(text: &str) -> Result<bool, String> {
    text.parse().map_err(|_| "true or false".to_owned())
}

/// Reads the memory of a host; less than the least is a mistake of the unit.
fn parse_memory(text: &str) -> Result<f64, String> {
    let memory = parse_amount(text).ok().filter(|m| *m == 0.0 || *m >= MEMORY_MIN);
    memory.ok_or_else(|| format!("0, or a number of megabytes of at least {MEMORY_MIN}"))
}

fn parse_amount(text: &str) -> Result<f64, String> {
    let amount = text.parse().ok().filter(|a: &f64| a.is_finite() && *a >= 0.0);
    amount.ok_or_else(|| "a number that is zero or greater".to_owned())
}
