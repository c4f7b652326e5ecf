//! Two entries and some agents as processes, with the stand-ins in this one.

use super::caller::Caller;
use super::daemon::{Daemon, free_address};
use crate::engine::{self, Ask, Engine, EngineSettings, LoadedModel};
use crate::http::Client;
use crate::load::call::Call;
use crate::load::{CallKind, Credential};
use crate::plain::{self, Plain, PlainSettings};
use crate::platform::{self, Platform, PlatformSettings};
use bytes::Bytes;
use http_body_util::Full;
use humantime::format_rfc3339_seconds;
use hyper::Request;
use papayaproxy::fleet::credential_digest;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep};

/// How long a plain call takes.
const SERVICE_TIME: Duration = Duration::from_millis(15);

/// How long a leaving upstream stays away.
const AWAY: Duration = Duration::from_secs(3600);

/// How long a started process may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Wait between two looks at something that is to change.
pub(crate) const LOOK: Duration = Duration::from_millis(1);

/// The workspace and its credential.
const WORKSPACE: &str = "north";
const TOKEN: &str = "north-secret";

/// A second workspace and its credential.
const OTHER_WORKSPACE: &str = "south";
const OTHER_TOKEN: &str = "south-secret";

/// Which process of the rig.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Process {
    Entry(usize),
    Agent(usize),
}

struct Member {
    daemon: Daemon,
    address: SocketAddr,
    ops: SocketAddr,
}

/// What a rig is made of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Layout {
    /// Plain services, which the ledgers share in turn.
    pub(crate) plains: usize,
    /// Agents of the ledger; they stand first.
    pub(crate) ledgers: usize,
    /// Agents of the model, each with an engine of its own.
    pub(crate) engines: usize,
    /// How long streams of a leaving upstream are left before they move.
    pub(crate) move_after: Duration,
    /// How long callers wait beyond their deadline before an answer counts as missing.
    pub(crate) patience: Duration,
}

/// The running rig.
pub(crate) struct Rig {
    pub(crate) plains: Vec<Plain>,
    pub(crate) engines: Vec<Engine>,
    layout: Layout,
    slots: Vec<SocketAddr>,
    generation: u64,
    entries: Vec<Member>,
    agents: Vec<Member>,
    platform: Platform,
}

impl Rig {
    /// Starts everything and waits until it is ready.
    pub(crate) async fn open(layout: Layout) -> io::Result<Self> {
        let platform = platform::bind(PlatformSettings::default()).await?;
        let (mut plains, mut engines) = (Vec::new(), Vec::new());
        for _ in 0..layout.plains {
            let settings = PlainSettings { service: SERVICE_TIME, ..PlainSettings::default() };
            plains.push(plain::bind(settings).await?);
        }
        for _ in 0..layout.engines {
            engines.push(open_engine().await?);
        }
        let ledgers = (0..layout.ledgers).map(|i| plains[i % layout.plains].addr());
        let targets: Vec<_> = ledgers.chain(engines.iter().map(Engine::addr)).collect();
        let slots: Vec<_> = targets.iter().map(|_| free_address()).collect::<io::Result<_>>()?;
        let entries = vec![entry(0, platform.addr())?, entry(1, platform.addr())?];
        let mut agents = Vec::new();
        for (i, (slot, target)) in slots.iter().zip(targets).enumerate() {
            agents.push(agent(i, *slot, target, platform.addr(), layout.move_after)?);
        }
        let generation = 0;
        let mut rig =
            Self { plains, engines, layout, slots, generation, entries, agents, platform };
        rig.publish(&[]);
        for i in 0..rig.agents.len() {
            rig.wait_ready(Process::Agent(i)).await?;
        }
        for i in 0..rig.entries.len() {
            rig.wait_ready(Process::Entry(i)).await?;
        }
        Ok(rig)
    }

    /// Publishes the next document, in which the upstreams `leaving` leave now.
    pub(crate) fn publish(&mut self, leaving: &[usize]) {
        self.generation += 1;
        let text = document(self.generation, self.layout.ledgers, &self.slots, leaving);
        self.platform.publish(text);
    }

    /// The callers' address of each entry.
    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.address).collect()
    }

    /// A caller that speaks to entry `i`.
    pub(crate) fn caller(&self, i: usize) -> Caller {
        Caller::open(self.entries[i].address, credential(), self.layout.patience)
    }

    /// Kills a process.
    pub(crate) async fn kill(&mut self, process: Process) -> io::Result<()> {
        self.member_mut(process).daemon.kill().await
    }

    /// Starts a process in the place of one that was killed, and waits until it is ready.
    pub(crate) async fn replace(&mut self, process: Process) -> io::Result<()> {
        self.member_mut(process).daemon.replace().await?;
        self.wait_ready(process).await
    }

    /// A caller of another workspace that speaks to entry `i`.
    pub(crate) fn other_caller(&self, i: usize) -> Caller {
        let credential =
            Credential { workspace: OTHER_WORKSPACE.to_owned(), token: OTHER_TOKEN.to_owned() };
        Caller::open(self.entries[i].address, credential, self.layout.patience)
    }

    /// Asks two agents to stop, waits until they have, and starts others in their place.
    pub(crate) async fn renew_agents(&mut self, first: usize, second: usize) -> io::Result<()> {
        let [one, other] =
            self.agents.get_disjoint_mut([first, second]).map_err(io::Error::other)?;
        tokio::try_join!(one.daemon.renew(), other.daemon.renew())?;
        self.wait_ready(Process::Agent(first)).await?;
        self.wait_ready(Process::Agent(second)).await
    }

    /// Asks an entry to stop, waits until it has, and starts another in its place.
    pub(crate) async fn renew_entry(&mut self, i: usize) -> io::Result<()> {
        self.entries[i].daemon.renew().await?;
        self.wait_ready(Process::Entry(i)).await
    }

    /// The daemon of a process.
    pub(crate) fn daemon(&self, process: Process) -> &Daemon {
        &self.member(process).daemon
    }

    async fn wait_ready(&self, process: Process) -> io::Result<()> {
        let ops = self.member(process).ops;
        let since = Instant::now();
        while since.elapsed() < READY_LIMIT {
            if is_ready(ops).await {
                return Ok(());
            }
            sleep(LOOK * 5).await;
        }
        Err(io::Error::other(format!("{process:?} is not ready after {READY_LIMIT:?}")))
    }

    fn member(&self, process: Process) -> &Member {
        match process {
            Process::Entry(i) => &self.entries[i],
            Process::Agent(i) => &self.agents[i],
        }
    }

    fn member_mut(&mut self, process: Process) -> &mut Member {
        match process {
            Process::Entry(i) => &mut self.entries[i],
            Process::Agent(i) => &mut self.agents[i],
        }
    }
}

/// A streamed answer of `pieces` pieces.
pub(crate) fn stream_call(prompt: String, pieces: u32, deadline: Duration) -> Call {
    let (model, version) = ("pear".to_owned(), 1);
    Call {
        kind: CallKind::Model,
        service: "assistant".to_owned(),
        credential: credential(),
        deadline,
        keyed: false,
        reference: String::new(),
        ask: Ask { model, version, prompt, max_tokens: pieces, ..Ask::default() },
        body: Bytes::new(),
    }
}

/// The workspace's credential.
pub(crate) fn credential() -> Credential {
    Credential { workspace: WORKSPACE.to_owned(), token: TOKEN.to_owned() }
}

async fn is_ready(ops: SocketAddr) -> bool {
    let request = Request::get("/ready").header("host", "ops").body(Full::default());
    let Ok(request) = request else { return false };
    matches!(Client::open(ops).send(request).await, Ok(reply) if reply.status() == 200)
}

async fn open_engine() -> io::Result<Engine> {
    let model = LoadedModel { model: "pear".to_owned(), version: 1, adapters: Vec::new() };
    let step = Duration::from_millis(4);
    engine::bind(EngineSettings { step, loaded: vec![model], ..EngineSettings::default() }).await
}

fn agent(
    i: usize,
    slot: SocketAddr,
    target: SocketAddr,
    platform: SocketAddr,
    move_after: Duration,
) -> io::Result<Member> {
    let ops = free_address()?;
    let mut settings = common(format!("u-{i}"), ops, platform);
    settings.push(("agent.address", slot.to_string()));
    settings.push(("upstream.address", target.to_string()));
    settings.push(("drain.move_after", format!("{}ms", move_after.as_millis())));
    let daemon = Daemon::spawn("agent", &settings)?;
    Ok(Member { daemon, address: slot, ops })
}

fn entry(i: usize, platform: SocketAddr) -> io::Result<Member> {
    let (address, ops) = (free_address()?, free_address()?);
    let mut settings = common(format!("entry-{i}"), ops, platform);
    settings.push(("entry.address", address.to_string()));
    let daemon = Daemon::spawn("entry", &settings)?;
    Ok(Member { daemon, address, ops })
}

fn common(name: String, ops: SocketAddr, platform: SocketAddr) -> Vec<(&'static str, String)> {
    vec![
        ("process.name", name),
        ("process.zone", "z1".to_owned()),
        ("link.key", format!("1:{}", "5a".repeat(32))),
        ("ops.address", ops.to_string()),
        ("platform.address", platform.to_string()),
        ("log.filter", "warn".to_owned()),
    ]
}

fn document(generation: u64, ledgers: usize, slots: &[SocketAddr], leaving: &[usize]) -> String {
    let (digest, other) = (credential_digest(TOKEN), credential_digest(OTHER_TOKEN));
    let mut text = format!(
        "[fleet]\nname = kills\ngeneration = {generation}\n[zone.z1]\nregion = local\n\
         [model.pear]\nversion = 1\n\
         [service.ledger]\nidempotent = no\ndeadline = 2s\n\
         [service.assistant]\nmodel = pear\nidempotent = yes\ndeadline = 10s\n\
         [workspaces]\n{WORKSPACE} = 100 {digest}\n{OTHER_WORKSPACE} = 100 {other}\n"
    );
    for (i, slot) in slots.iter().enumerate() {
        let service = if i < ledgers { "ledger" } else { "assistant" };
        text.push_str(&format!(
            "[upstream.u-{i}]\nzone = z1\nagent = {slot}\nservices = {service}\n"
        ));
        if leaving.contains(&i) {
            let now = SystemTime::now();
            let (from, until) = (format_rfc3339_seconds(now), format_rfc3339_seconds(now + AWAY));
            text.push_str(&format!("leave-from = {from}\nleave-until = {until}\n"));
        }
    }
    text
}
