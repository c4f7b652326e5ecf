//! The processes of the demo, as tasks of this one.

use super::fleet::model;
use crate::engine::{self, Engine, EngineSettings, LoadedModel};
use crate::plain::{self, Plain, PlainSettings};
use papayaproxy::Control;
use papayaproxy::Name;
use papayaproxy::agent::AgentSettings;
use papayaproxy::daemon::{RunningAgent, RunningEntry, open_agent, open_entry};
use papayaproxy::entry::EntrySettings;
use papayaproxy::fleet::Document;
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

/// Opens an upstream and its agent at free ports.
pub(crate) async fn open_host(
    document: &Document,
    name: &Name,
    platform: SocketAddr,
    control: &Control,
) -> io::Result<Host> {
    let stand = Stand::bind(document, name).await?;
    let zone = document.upstreams.get(name).map(|u| u.zone.clone()).unwrap_or_default();
    let mut overrides = common(name, &zone, platform);
    overrides.push(format!("agent.address={ANY_PORT}"));
    overrides.push(format!("upstream.address={}", stand.addr()));
    let settings = AgentSettings::open(None, &overrides).map_err(io::Error::other)?;
    let agent = open_agent(settings, control).await.map_err(io::Error::other)?;
    Ok(Host { name: name.clone(), zone, stand, agent: Some(agent) })
}

/// Opens the entry of a zone at a free port.
pub(crate) async fn open_zone_entry(
    zone: &Name,
    platform: SocketAddr,
    control: &Control,
) -> io::Result<RunningEntry> {
    let mut overrides = common(&format!("entry-{zone}"), zone, platform);
    overrides.push(format!("entry.address={ANY_PORT}"));
    let settings = EntrySettings::open(None, &overrides).map_err(io::Error::other)?;
    open_entry(settings, control).await.map_err(io::Error::other)
}

/// Settings that every process needs.
fn common(name: &str, zone: &Name, platform: SocketAddr) -> Vec<String> {
    vec![
        format!("process.name={name}"),
        format!("process.zone={zone}"),
        format!("link.key={LINK_KEY}"),
        format!("ops.address={ANY_PORT}"),
        format!("platform.address={platform}"),
    ]
}
