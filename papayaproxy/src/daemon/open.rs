//! Opens whole processes: a member on the control thread and the role on the traffic threads.

use crate::agent::{Agent, AgentSettings};
use crate::base::clock::Clock;
use crate::base::control::Control;
use crate::base::error::ProcessError;
use crate::entry::{Entry, EntrySettings};
use crate::membership::{Member, Node, NodeError, NodeSettings, Process};
use crate::settings::ProcessSettings;
use crate::wire::Identity;
use std::net::SocketAddr;

/// A running entry that takes part in membership.
pub struct RunningEntry {
    /// The entry.
    pub entry: Entry,
    /// Its member.
    pub node: Node,
}

/// A running agent that takes part in membership.
pub struct RunningAgent {
    /// The agent.
    pub agent: Agent,
    /// Its member.
    pub node: Node,
}

impl RunningEntry {
    /// Lets the requests in progress finish, then closes everything.
    pub async fn stop(self) {
        self.entry.stop().await;
    }
}

impl RunningAgent {
    /// Lets the calls in progress finish, then closes everything.
    pub async fn stop(self) {
        self.agent.stop().await;
    }
}

/// Opens an entry with its member on `control`.
///
/// # Errors
/// An address that cannot be bound, or an exporter that cannot be set up.
pub async fn open_entry(
    settings: EntrySettings,
    control: &Control,
) -> Result<RunningEntry, ProcessError> {
    let clock = Clock::start();
    let identity = settings.process.identity();
    let place = Place { member: Member::Entry, address: settings.address };
    let node = node_settings(&settings.process, &identity, place, settings.peers.clone(), clock);
    let node = join(node, control).await?;
    let entry = Entry::open(settings, identity, node.feed(), clock).await?;
    Ok(RunningEntry { entry, node })
}

/// Opens an agent with its member on `control`.
///
/// # Errors
/// An address that cannot be bound, or an exporter that cannot be set up.
pub async fn open_agent(
    settings: AgentSettings,
    control: &Control,
) -> Result<RunningAgent, ProcessError> {
    let clock = Clock::start();
    let identity = settings.process.identity();
    let place = Place { member: Member::Agent, address: settings.address };
    let node = node_settings(&settings.process, &identity, place, settings.peers.clone(), clock);
    let node = join(node, control).await?;
    let agent = Agent::open(settings, identity, node.feed(), node.reporter()).await?;
    Ok(RunningAgent { agent, node })
}

/// What a process does, and where peers reach it.
struct Place {
    member: Member,
    address: SocketAddr,
}

fn node_settings(
    settings: &ProcessSettings,
    identity: &Identity,
    place: Place,
    peers: Vec<SocketAddr>,
    clock: Clock,
) -> NodeSettings {
    let process = Process {
        name: identity.name.clone(),
        zone: settings.zone.clone(),
        member: place.member,
        address: place.address,
        incarnation: identity.incarnation,
    };
    let mut node = NodeSettings::new(process, settings.secrets.clone(), clock);
    node.platform = Some(settings.platform);
    node.peers = peers;
    node
}

/// Starts the member on the control thread.
async fn join(settings: NodeSettings, control: &Control) -> Result<Node, NodeError> {
    let address = settings.process.address;
    let node = control.handle().spawn(Node::spawn(settings)).await;
    node.unwrap_or_else(|error| {
        let source = std::io::Error::other(error.to_string());
        Err(NodeError::Socket { address, source })
    })
}
