//! Runs membership: UDP socket, actor, platform readers and published snapshots.

use super::actor::{
    DatagramReceived, Interval, IsWatching, NodeActor, PeerGeneration, Publish, ReportLoad, Tick,
};
use super::constants::PUBLISH_INTERVAL;
use super::error::NodeError;
use super::feed::Feed;
use super::members::Candidate;
use super::platform::{PlatformCalls, PlatformReader, client, follow_document, follow_hosts};
use super::report::LoadReport;
use super::row::Process;
use super::traffic::Traffic;
use crate::base::clock::Clock;
use crate::wire::Secrets;
use kameo::actor::{ActorRef, Spawn};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Whether the process may exchange messages with an address; simulates partitions in tests.
pub type AddressFilter = Arc<dyn Fn(SocketAddr) -> bool + Send + Sync>;

/// Size of the receive buffer, larger than any datagram sent.
const RECEIVE_BYTES: usize = 2048;

/// Configuration of a [`Node`].
#[derive(Clone)]
pub struct NodeSettings {
    /// The local process; its address is bound for UDP, where port 0 selects a free one.
    pub process: Process,
    /// Keys for sealing datagrams.
    pub secrets: Secrets,
    /// Address of the platform's configuration service; `None` to run without it.
    pub platform: Option<SocketAddr>,
    /// Addresses of peers from the settings.
    pub peers: Vec<SocketAddr>,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Addresses that the process may exchange messages with.
    pub address_filter: AddressFilter,
}

impl NodeSettings {
    /// Settings without peers and platform, with all addresses allowed.
    pub fn new(process: Process, secrets: Secrets, clock: Clock) -> Self {
        let address_filter: AddressFilter = Arc::new(|_| true);
        Self { process, secrets, platform: None, peers: Vec::new(), clock, address_filter }
    }
}

/// Handle of a running membership node. Dropping it ends the tasks and closes the socket.
pub struct Node {
    feed: Feed,
    address: SocketAddr,
    actor: ActorRef<NodeActor>,
    ready: watch::Receiver<bool>,
    calls: Arc<PlatformCalls>,
    traffic: Arc<Traffic>,
    _stop: DropGuard,
}

impl Node {
    /// Binds the UDP socket and starts the tasks on the current runtime.
    ///
    /// # Errors
    /// `Socket` if the address cannot be bound.
    pub async fn spawn(mut settings: NodeSettings) -> Result<Self, NodeError> {
        let address = settings.process.address;
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|source| NodeError::Socket { address, source })?;
        let address = socket.local_addr().unwrap_or(address);
        settings.process.address = address;
        let socket = Arc::new(socket);
        let traffic = Arc::new(Traffic::default());
        let calls = Arc::new(PlatformCalls::default());
        let (state, outputs) = NodeActor::new(&settings, socket.clone(), traffic.clone());
        let actor = NodeActor::spawn(state);
        let stop = CancellationToken::new();
        let run = |task: std::pin::Pin<Box<dyn Future<Output = ()> + Send>>| {
            let stop = stop.clone();
            tokio::spawn(async move { stop.run_until_cancelled(task).await });
        };
        run(Box::pin(receive(socket, actor.clone(), settings.address_filter.clone())));
        run(Box::pin(tick(actor.clone())));
        run(Box::pin(publish(actor.clone())));
        if let Some(platform) = settings.platform {
            let reader = PlatformReader {
                address: platform,
                actor: actor.clone(),
                calls: calls.clone(),
                clock: settings.clock,
                address_filter: settings.address_filter.clone(),
                client: client(),
            };
            run(Box::pin(follow_document(reader.clone(), outputs.watching.clone())));
            run(Box::pin(follow_hosts(reader, outputs.watching.clone())));
        }
        let (actor_to_kill, stopped) = (actor.clone(), stop.clone());
        tokio::spawn(async move {
            stopped.cancelled().await;
            actor_to_kill.kill();
        });
        let feed = outputs.feed(actor.clone(), settings.clock);
        let ready = outputs.ready;
        Ok(Self { feed, address, actor, ready, calls, traffic, _stop: stop.drop_guard() })
    }

    /// Published snapshots.
    pub fn feed(&self) -> Feed {
        self.feed.clone()
    }

    /// Bound UDP address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the load report of the next heartbeat; agents only. May be called from any thread.
    pub fn report(&self, report: LoadReport) {
        // A report dropped by a full mailbox is superseded by the next one.
        let _ = self.actor.tell(ReportLoad { report }).try_send();
    }

    /// A function that does the same as [`Node::report`].
    pub fn reporter(&self) -> impl Fn(LoadReport) + Send + Sync + Clone + use<> {
        let actor = self.actor.clone();
        move |report| drop(actor.tell(ReportLoad { report }).try_send())
    }

    /// Waits until the process may serve: it has the highest document of platform and peers, or a
    /// time limit has passed.
    pub async fn ready(&self) {
        let _ = self.ready.clone().wait_for(|r| *r).await;
    }

    /// Whether the process may serve.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Counters of platform calls.
    pub fn calls(&self) -> &PlatformCalls {
        &self.calls
    }

    /// Counters of datagrams.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Whether this process currently watches the platform.
    pub async fn is_watching(&self) -> bool {
        self.actor.ask(IsWatching).await.unwrap_or(false)
    }
}

/// Forwards received datagrams to the actor.
async fn receive(
    socket: Arc<UdpSocket>,
    actor: ActorRef<NodeActor>,
    address_filter: AddressFilter,
) {
    let mut buffer = [0; RECEIVE_BYTES];
    loop {
        // A receive error reports an earlier send to a closed port.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        if !address_filter(from) {
            continue;
        }
        let bytes = buffer[..length].to_vec();
        if actor.tell(DatagramReceived { from, bytes }).await.is_err() {
            return;
        }
    }
}

/// Triggers a tick at each heartbeat interval, whose length the actor returns.
async fn tick(actor: ActorRef<NodeActor>) {
    while let Ok(Interval(interval)) = actor.ask(Tick).await {
        tokio::time::sleep(interval).await;
    }
}

/// Triggers the publication of a changed view at a fixed interval.
async fn publish(actor: ActorRef<NodeActor>) {
    while actor.tell(Publish).await.is_ok() {
        tokio::time::sleep(PUBLISH_INTERVAL).await;
    }
}

/// A function that reports the generation of a peer to the actor.
pub(crate) fn generation_reporter(actor: ActorRef<NodeActor>) -> Arc<dyn Fn(u64) + Send + Sync> {
    Arc::new(move |generation| drop(actor.tell(PeerGeneration { generation }).try_send()))
}

/// Candidates for the peers in the settings, which are assumed to be in the local zone.
pub(crate) fn seeds(peers: &[SocketAddr], process: &Process) -> Vec<Candidate> {
    let zone = Some(process.zone.clone());
    peers.iter().map(|address| Candidate { address: *address, zone: zone.clone() }).collect()
}
