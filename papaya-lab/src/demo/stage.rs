//! Opens everything, sends the load and performs the stops.

use super::fleet::{self, credential};
use super::processes::{Common, Host, Stand, open_host, open_zone_entry};
use super::stop::{StopReport, perform};
use super::summary::{Place, Summary};
use crate::load::{Credential, ModelTarget, PlainTarget, Plan, run_plan};
use crate::platform::{self, Platform, PlatformSettings};
use crate::ports::free_addresses;
use indexmap::IndexMap;
use papayaproxy::ctl::survey;
use papayaproxy::daemon::RunningEntry;
use papayaproxy::fleet::Document;
use papayaproxy::{Control, Name};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which the processes are asked whether they have the document.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait until all processes have the document.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(10);

/// Upstreams that leave while the load goes on, one of each kind.
const LEAVING: [&str; 2] = ["assistant-1", "ledger-1"];

/// What the demo does.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// Requests a second.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Pieces of each streamed answer.
    pub tokens: u32,
    /// When the upstreams begin to leave.
    pub stop_after: Duration,
    /// Whether the agents are killed instead.
    pub kills: bool,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self {
            rate: 120.0,
            duration: Duration::from_secs(10),
            tokens: 24,
            stop_after: Duration::from_secs(3),
            kills: false,
        }
    }
}

struct Stage {
    platform: Platform,
    document: Document,
    hosts: Vec<Host>,
    entries: Vec<RunningEntry>,
    _control: Control,
}

/// Runs the demo. `tell` gets a line for each step and each second.
///
/// # Errors
/// An address that cannot be bound, or processes that do not take the document.
pub async fn run_demo(
    settings: &DemoSettings,
    tell: impl Fn(&str) + Clone + Send + Sync + 'static,
) -> io::Result<Summary> {
    let mut stage = open().await?;
    tell(&stage.description());
    stage.wait_ready().await?;
    let plan = plan(settings, &stage);
    let load = run_plan(&plan, tell.clone());
    let Stage { platform, document, hosts, .. } = &mut stage;
    let stopping = stop_later(settings, platform, document, hosts, &tell);
    let (load, stops) = tokio::join!(load, stopping);
    let runs = stage.runs();
    let places = stage.hosts.iter().map(place).collect();
    for entry in stage.entries {
        entry.stop().await;
    }
    let repeated = runs.values().filter(|r| **r > 1).count();
    let lied = load.not_run.iter().filter(|r| runs.contains_key(*r)).count();
    Ok(Summary { load, places, stops: stops?, killed: settings.kills, repeated, lied })
}

async fn stop_later(
    settings: &DemoSettings,
    platform: &Platform,
    document: &Document,
    hosts: &mut [Host],
    tell: &(impl Fn(&str) + Send + Sync),
) -> io::Result<Vec<StopReport>> {
    sleep(settings.stop_after).await;
    if settings.kills {
        tell(&format!("the agents of {} are killed", LEAVING.join(" and ")));
        for host in hosts.iter_mut().filter(|h| LEAVING.contains(&h.name.as_str())) {
            host.agent = None;
        }
        return Ok(Vec::new());
    }
    tell(&format!("{} leave for cleaning: the next document is published", LEAVING.join(" and ")));
    perform(platform, document, hosts, &LEAVING.map(Name::from)).await
}

async fn open() -> io::Result<Stage> {
    let platform = platform::bind(PlatformSettings::default()).await?;
    let sample = fleet::sample()?;
    let mut addresses = free_addresses(sample.zones.len() + sample.upstreams.len())?;
    let peers = addresses.split_off(sample.upstreams.len());
    let document = fleet::place(sample, &addresses);
    platform.publish(fleet::text(&document)?);
    let control = Control::spawn()?;
    let common = Common { control, platform: platform.addr(), peers };
    let mut hosts = Vec::new();
    for name in document.upstreams.keys() {
        hosts.push(open_host(&common, &document, name).await?);
    }
    let mut entries = Vec::new();
    for (zone, address) in document.zones.keys().zip(&common.peers) {
        entries.push(open_zone_entry(&common, zone, *address).await?);
    }
    Ok(Stage { platform, document, hosts, entries, _control: common.control })
}

impl Stage {
    fn description(&self) -> String {
        format!(
            "fleet '{}': {} zones, {} entries, {} upstreams with their agents, one process",
            self.document.fleet,
            self.document.zones.len(),
            self.entries.len(),
            self.hosts.len(),
        )
    }

    /// Waits until every process has the document in force.
    async fn wait_ready(&self) -> io::Result<()> {
        let agents =
            self.hosts.iter().filter_map(|h| h.agent.as_ref().map(|a| a.agent.ops_address()));
        let entries = self.entries.iter().map(|e| e.entry.ops_address());
        let addresses: Vec<SocketAddr> = agents.chain(entries).collect();
        let until = Instant::now() + READY_LIMIT;
        loop {
            let found = survey(&addresses).await;
            let ready = found.statuses().filter(|s| s.ready).count();
            if found.agrees() && ready == addresses.len() {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(io::Error::other(format!("not ready in time:\n{found}")));
            }
            sleep(READY_INTERVAL).await;
        }
    }

    /// How often each call of a plain service began, over all upstreams.
    fn runs(&self) -> IndexMap<String, u64> {
        let mut runs: IndexMap<String, u64> = IndexMap::new();
        for host in &self.hosts {
            if let Stand::Plain(plain) = &host.stand {
                for (reference, count) in plain.counts().references {
                    *runs.entry(reference).or_default() += count.started;
                }
            }
        }
        runs
    }
}

fn place(host: &Host) -> Place {
    let counts = host.stand.stream_counts();
    Place {
        upstream: host.name.clone(),
        zone: host.zone.clone(),
        taken: host.stand.taken(),
        continued: counts.continued,
        prior_wrong: counts.prior_wrong,
    }
}

fn plan(settings: &DemoSettings, stage: &Stage) -> Plan {
    let credential =
        |name: &Name| Credential { workspace: name.to_string(), token: credential(name) };
    Plan {
        entries: stage.entries.iter().map(|e| e.entry.address()).collect(),
        workspaces: stage.document.workspaces.keys().map(credential).collect(),
        rate: settings.rate,
        duration: settings.duration,
        model: Some(ModelTarget {
            service: "assistant".to_owned(),
            model: "pear-7b".to_owned(),
            version: 0,
            tokens: settings.tokens,
            prompt: 600,
            prefixes: 4,
        }),
        plain: Some(PlainTarget { service: "ledger".to_owned(), keyed: false }),
        model_share: 0.5,
        deadline: DEADLINE,
        in_flight: 10_000,
        seed: 1,
        label: "demo".to_owned(),
    }
}
