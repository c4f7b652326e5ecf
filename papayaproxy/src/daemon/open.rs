//! Opens whole processes: membership on the control thread and the role on the traffic threads.

use crate::agent::{Agent, AgentSettings};
use crate::base::clock::Clock;
use crate::base::control::Control;
use crate::base::error::ProcessError;
use crate::entry::{Entry, EntrySettings};
use crate::membership::{JoinedProcess, Node, NodeError, NodeSettings, Process, ProcessRole};
use crate::settings::ProcessSettings;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// A running entry that takes part in membership.
pub struct RunningEntry {
    /// The entry.
    pub entry: Entry,
    /// Its membership node.
    pub node: Node,
}

/// A running agent that takes part in membership.
pub struct RunningAgent {
    /// The agent.
    pub agent: Agent,
    /// Its membership node.
    pub node: Node,
}

impl RunningEntry {
    /// Lets the requests in progress finish, then closes all connections.
    pub async fn stop(self) {
        self.entry.stop().await;
    }
}

impl RunningAgent {
    /// Lets the calls in progress finish, then closes all connections.
    pub async fn stop(self) {
        self.agent.stop().await;
    }
}

/// Opens an entry with its membership node on `control`.
///
/// # Errors
/// An address that cannot be bound, or an exporter that cannot be set up.
pub async fn open_entry(
    settings: EntrySettings,
    control: &Control,
) -> Result<RunningEntry, ProcessError> {
    let member = MemberSettings {
        role: ProcessRole::Entry,
        address: settings.address,
        peers: settings.peers.clone(),
    };
    let (node, joined) = join_membership(&settings.process, member, control).await?;
    let entry = Entry::open(settings, joined).await?;
    Ok(RunningEntry { entry, node })
}

/// Opens an agent with its membership node on `control`.
///
/// # Errors
/// An address that cannot be bound, or an exporter that cannot be set up.
pub async fn open_agent(
    settings: AgentSettings,
    control: &Control,
) -> Result<RunningAgent, ProcessError> {
    let member = MemberSettings {
        role: ProcessRole::Agent,
        address: settings.address,
        peers: settings.peers.clone(),
    };
    let (node, joined) = join_membership(&settings.process, member, control).await?;
    let agent = Agent::open(settings, joined, node.reporter()).await?;
    Ok(RunningAgent { agent, node })
}

/// Role of a process, the address at which peers reach it, and known peers.
struct MemberSettings {
    role: ProcessRole,
    address: SocketAddr,
    peers: Vec<SocketAddr>,
}

/// Binds the address of a process and starts its membership node on the control thread.
async fn join_membership(
    settings: &ProcessSettings,
    member: MemberSettings,
    control: &Control,
) -> Result<(Node, JoinedProcess), ProcessError> {
    let clock = Clock::start();
    let identity = settings.identity();
    // The exclusive bind prevents two agents of one host from serving at the same time.
    let address = member.address;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| ProcessError::Listen { address, source })?;
    let process = Process {
        name: identity.name.clone(),
        zone: settings.zone.clone(),
        role: member.role,
        // Heartbeats use the same port number over UDP.
        address: listener.local_addr().unwrap_or(address),
        incarnation: identity.incarnation,
    };
    let mut node = NodeSettings::new(process, settings.secrets.clone(), clock);
    node.platform = Some(settings.platform);
    node.peers = member.peers;
    let node = spawn_node(node, control).await?;
    let feed = node.feed();
    Ok((node, JoinedProcess { identity, feed, clock, listener }))
}

async fn spawn_node(settings: NodeSettings, control: &Control) -> Result<Node, NodeError> {
    let address = settings.process.address;
    let node = control.handle().spawn(Node::spawn(settings)).await;
    node.unwrap_or_else(|error| {
        let source = std::io::Error::other(error.to_string());
        Err(NodeError::Socket { address, source })
    })
}
