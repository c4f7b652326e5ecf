//! The processes of the demo, as tasks of this one.

use super::fleet::model;
use crate::engine::{self, Engine, EngineCounts, EngineSettings, LoadedModel};
use crate::plain::{self, Plain, PlainSettings};
use papayaproxy::agent::AgentSettings;
use papayaproxy::daemon::{RunningAgent, RunningEntry, open_agent, open_entry};
use papayaproxy::entry::EntrySettings;
use papayaproxy::fleet::Document;
use papayaproxy::{Control, Name};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The link key of the demo; a real fleet makes its own.
const LINK_KEY: &str = "1:00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Duration of an engine's step.
const STEP: Duration = Duration::from_millis(15);

/// Any free port of the loopback address.
const ANY_PORT: &str = "127.0.0.1:0";

/// What stands behind an agent.
pub(crate) enum Stand {
    Engine(Engine),
    Plain(Plain),
}

impl Stand {
    async fn bind(document: &Document, upstream: &str) -> io::Result<Self> {
        let Some(name) = model(document, upstream) else {
            return plain::bind(PlainSettings::default()).await.map(Self::Plain);
        };
        let found = document.models.get(name);
        let loaded = LoadedModel {
            model: name.to_string(),
            version: found.map_or(1, |m| m.version),
            adapters: found.iter().flat_map(|m| &m.adapters).map(ToString::to_string).collect(),
        };
        let settings =
            EngineSettings { step: STEP, loaded: vec![loaded], ..EngineSettings::default() };
        engine::bind(settings).await.map(Self::Engine)
    }

    fn addr(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.addr(),
            Self::Plain(plain) => plain.addr(),
        }
    }

    /// Calls taken so far.
    pub(crate) fn taken(&self) -> u64 {
        match self {
            Self::Engine(engine) => engine.counts().taken,
            Self::Plain(plain) => plain.counts().total.started,
        }
    }

    /// What happened to an engine's streams; nothing for a plain service.
    pub(crate) fn stream_counts(&self) -> EngineCounts {
        match self {
            Self::Engine(engine) => engine.counts(),
            Self::Plain(_) => EngineCounts::default(),
        }
    }

    /// Calls in progress.
    pub(crate) fn active(&self) -> u64 {
        match self {
            Self::Engine(engine) => engine.active() as u64,
            Self::Plain(plain) => {
                let total = plain.counts().total;
                total.started - total.finished
            }
        }
    }

    /// Stops it as a host that is switched off.
    pub(crate) fn stop(&self) {
        match self {
            Self::Engine(engine) => engine.stop(),
            Self::Plain(plain) => plain.stop(),
        }
    }
}

/// An upstream with its agent.
pub(crate) struct Host {
    pub(crate) name: Name,
    pub(crate) zone: Name,
    pub(crate) stand: Stand,
    /// `None` once it was stopped.
    pub(crate) agent: Option<RunningAgent>,
}

/// What all processes of the demo share.
pub(crate) struct Common {
    /// The control thread.
    pub(crate) control: Control,
    /// Address of the platform.
    pub(crate) platform: SocketAddr,
    /// Entries' addresses, by which processes find each other.
    pub(crate) peers: Vec<SocketAddr>,
}

/// Opens an upstream, and its agent at the address that the document names.
pub(crate) async fn open_host(
    common: &Common,
    document: &Document,
    name: &Name,
) -> io::Result<Host> {
    let missing = || io::Error::other(format!("no upstream {name}"));
    let upstream = document.upstreams.get(name).ok_or_else(missing)?;
    let stand = Stand::bind(document, name).await?;
    let zone = upstream.zone.clone();
    let mut overrides = common.overrides(name, &zone);
    overrides.push(format!("agent.address={}", upstream.agent));
    overrides.push(format!("upstream.address={}", stand.addr()));
    let settings = AgentSettings::open(None, &overrides).map_err(io::Error::other)?;
    let agent = open_agent(settings, &common.control).await.map_err(io::Error::other)?;
    Ok(Host { name: name.clone(), zone, stand, agent: Some(agent) })
}

/// Opens the entry of a zone.
pub(crate) async fn open_zone_entry(
    common: &Common,
    zone: &Name,
    address: SocketAddr,
) -> io::Result<RunningEntry> {
    let mut overrides = common.overrides(&format!("entry-{zone}"), zone);
    overrides.push(format!("entry.address={address}"));
    let settings = EntrySettings::open(None, &overrides).map_err(io::Error::other)?;
    open_entry(settings, &common.control).await.map_err(io::Error::other)
}

impl Common {
    /// Settings that every process needs.
    fn overrides(&self, name: &str, zone: &Name) -> Vec<String> {
        let peers: Vec<String> = self.peers.iter().map(ToString::to_string).collect();
        vec![
            format!("process.name={name}"),
            format!("process.zone={zone}"),
            format!("link.key={LINK_KEY}"),
            format!("ops.address={ANY_PORT}"),
            format!("platform.address={}", self.platform),
            format!("membership.peers={}", peers.join(", ")),
        ]
    }
}
