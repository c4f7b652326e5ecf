//! The processes of the bench: a plain service, and the two ways to it.

use super::children::Role;
use super::drive::Shot;
use crate::http::Client;
use crate::ports::free_addresses;
use papayaproxy::fleet::{credential_digest, parse};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

/// Credential of the bench's workspace.
const CREDENTIAL: &str = "bench-credential";

/// Link key of the bench.
const LINK_KEY: &str = "1:00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Longest wait until every way answers.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Pause between tries while waiting.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Body of each request, which comes back as the answer.
const BODY: &str = r#"{"reference":"bench","shelf":"north-17","grower":"orchard","places":4}"#;

/// A way to the plain service.
pub(crate) struct Way {
    pub(crate) name: &'static str,
    pub(crate) address: SocketAddr,
    pub(crate) shot: Shot,
    /// The processes between the caller and the service.
    pub(crate) roles: Vec<Role>,
}

impl Way {
    /// Processor time that its processes have used.
    pub(crate) fn cpu_time(&self) -> io::Result<Duration> {
        self.roles.iter().map(Role::cpu_time).sum()
    }
}

/// All ways, and what they need besides.
pub(crate) struct Rig {
    pub(crate) ways: Vec<Way>,
    _behind: Vec<Role>,
    _folder: TempDir,
}

/// How the processes are started.
#[derive(Clone, Debug)]
pub(crate) struct RigSettings {
    /// Traffic threads of each process.
    pub(crate) threads: u16,
    /// Log filter of entry and agent.
    pub(crate) log: String,
}

/// Starts everything and waits until each way answers.
pub(crate) async fn open(settings: &RigSettings) -> io::Result<Rig> {
    let folder = tempfile::tempdir()?;
    let addresses: [SocketAddr; 7] =
        free_addresses(7)?.try_into().map_err(|_| io::Error::other("seven addresses"))?;
    let [service, platform, forward, entry, agent, entry_ops, agent_ops] = addresses;
    let document = folder.path().join("fleet.ini");
    std::fs::write(&document, document_text(agent))?;
    let lab = |args: &[String]| Role::start("papaya-lab", args);
    let threads = ["--threads".to_owned(), settings.threads.to_string()];
    let listen = |name: &str, at: SocketAddr| {
        [vec![name.to_owned(), format!("--listen={at}")], threads.to_vec()].concat()
    };
    let plain = lab(
        &[listen("plain", service), vec!["--service=0s".into(), "--no-count".into()]].concat()
    )?;
    let document = vec![format!("--document={}", document.display())];
    let platform_role = lab(&[listen("platform", platform), document].concat())?;
    let forward_role =
        lab(&[listen("forward", forward), vec![format!("--target={service}")]].concat())?;
    let common = common_settings(settings, platform);
    let entry_role = Role::start("papaya-entry", &entry_settings(&common, entry, entry_ops))?;
    let agent_role =
        Role::start("papaya-agent", &agent_settings(&common, agent, agent_ops, service))?;
    let way = |name, address, roles| Way { name, address, shot: shot(), roles };
    let ways = vec![
        way("direct", service, vec![]),
        way("forwarder", forward, vec![forward_role]),
        way("entry+agent", entry, vec![entry_role, agent_role]),
    ];
    for way in &ways {
        wait_ready(way).await?;
    }
    Ok(Rig { ways, _behind: vec![plain, platform_role], _folder: folder })
}

/// The request that goes all ways; only the entry looks at its headers.
fn shot() -> Shot {
    Shot {
        path: "/v1/services/ledger/echo".to_owned(),
        headers: vec![
            ("content-type", "application/json".to_owned()),
            ("papaya-workspace", "bench".to_owned()),
            ("authorization", format!("Bearer {CREDENTIAL}")),
            ("papaya-deadline", "5s".to_owned()),
        ],
        body: BODY.into(),
    }
}

fn document_text(agent: SocketAddr) -> String {
    let digest = credential_digest(CREDENTIAL);
    let text = format!(
        "[fleet]\nname = bench\ngeneration = 1\n\n[zone.east]\nregion = local\n\n\
         [service.ledger]\nidempotent = yes\n\n\
         [upstream.ledger-1]\nzone = east\nagent = {agent}\nservices = ledger\n\n\
         [workspaces]\nbench = 1 {digest}\n"
    );
    debug_assert!(parse(&text).is_ok());
    text
}

fn common_settings(settings: &RigSettings, platform: SocketAddr) -> Vec<String> {
    vec![
        "process.zone=east".to_owned(),
        format!("process.threads={}", settings.threads),
        format!("link.key={LINK_KEY}"),
        format!("platform.address={platform}"),
        format!("log.filter={}", settings.log),
    ]
}

fn entry_settings(common: &[String], address: SocketAddr, ops: SocketAddr) -> Vec<String> {
    let own = [
        "process.name=entry-east-1".to_owned(),
        format!("entry.address={address}"),
        format!("ops.address={ops}"),
    ];
    set_args(common, &own)
}

fn agent_settings(
    common: &[String],
    address: SocketAddr,
    ops: SocketAddr,
    service: SocketAddr,
) -> Vec<String> {
    let own = [
        "process.name=ledger-1".to_owned(),
        format!("agent.address={address}"),
        format!("ops.address={ops}"),
        format!("upstream.address={service}"),
    ];
    set_args(common, &own)
}

fn set_args(common: &[String], own: &[String]) -> Vec<String> {
    common.iter().chain(own).map(|text| format!("--set={text}")).collect()
}

async fn wait_ready(way: &Way) -> io::Result<()> {
    let until = Instant::now() + READY_LIMIT;
    let client = Client::open(way.address);
    loop {
        let Err(error) = way.shot.fire(&client).await else { return Ok(()) };
        if Instant::now() > until {
            return Err(io::Error::other(format!("{} does not answer: {error}", way.name)));
        }
        sleep(READY_PAUSE).await;
    }
}
