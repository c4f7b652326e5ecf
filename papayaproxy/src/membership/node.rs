//! The running role: its socket, its actor and what it publishes.

use super::actor::{Interval, Newer, NodeActor, Publish, Received, Report, Tick, Watched};
use super::constants::PUBLISH_INTERVAL;
use super::error::NodeError;
use super::feed::Feed;
use super::members::Candidate;
use super::platform::{PlatformCalls, Reader, client, follow_document, follow_hosts};
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

/// Tells whether the process may talk to an address. Cuts links in tests.
pub type AddressFilter = Arc<dyn Fn(SocketAddr) -> bool + Send + Sync>;

/// Bytes of the receive buffer, more than any datagram.
const RECEIVE_BYTES: usize = 2048;

/// How a process takes part in membership.
#[derive(Clone)]
pub struct NodeSettings {
    /// The process; its address is bound for UDP. An agent bears the name of its upstream.
    pub process: Process,
    /// Keys that seal datagrams.
    pub secrets: Secrets,
    /// Address of the platform's service.
    pub platform: Option<SocketAddr>,
    /// Addresses of peers that are known from settings.
    pub peers: Vec<SocketAddr>,
    /// The process' monotonic clock.
    pub clock: Clock,
    /// Which addresses it may talk to.
    pub address_filter: AddressFilter,
}

impl NodeSettings {
    /// Settings without peers, platform and cuts.
    pub fn new(process: Process, secrets: Secrets, clock: Clock) -> Self {
        let address_filter: AddressFilter = Arc::new(|_| true);
        Self { process, secrets, platform: None, peers: Vec::new(), clock, address_filter }
    }
}

/// A running member. Dropping it ends its tasks and closes its socket.
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
    /// Binds the UDP socket and starts to take part, on the runtime that it is called on.
    ///
    /// # Errors
    /// `Socket` where the address cannot be bound.
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
            let reader = Reader {
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
        let (killed, stopped) = (actor.clone(), stop.clone());
        tokio::spawn(async move {
            stopped.cancelled().await;
            killed.kill();
        });
        let feed = outputs.feed(actor.clone(), settings.clock);
        let ready = outputs.ready;
        Ok(Self { feed, address, actor, ready, calls, traffic, _stop: stop.drop_guard() })
    }

    /// The snapshots that this member publishes.
    pub fn feed(&self) -> Feed {
        self.feed.clone()
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells peers of this agent's load with the next beat. May be called on any thread.
    pub fn report(&self, report: LoadReport) {
        // A full mailbox drops this report; the next one follows shortly.
        let _ = self.actor.tell(Report { report }).try_send();
    }

    /// A function that passes reports on as [`Node::report`] does.
    pub fn reporter(&self) -> impl Fn(LoadReport) + Send + Sync + Clone + use<> {
        let actor = self.actor.clone();
        move |report| drop(actor.tell(Report { report }).try_send())
    }

    /// Waits until the process may serve: it has the highest document of platform and peers, or
    /// nobody has answered for a bounded time.
    pub async fn ready(&self) {
        let _ = self.ready.clone().wait_for(|r| *r).await;
    }

    /// Whether the process may serve.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Calls made to the platform.
    pub fn calls(&self) -> &PlatformCalls {
        &self.calls
    }

    /// Datagrams sent and received.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Whether this process watches the platform at present.
    pub async fn is_watching(&self) -> bool {
        self.actor.ask(Watched).await.unwrap_or(false)
    }
}

/// Hands received datagrams to the actor.
async fn receive(
    socket: Arc<UdpSocket>,
    actor: ActorRef<NodeActor>,
    address_filter: AddressFilter,
) {
    let mut buffer = [0; RECEIVE_BYTES];
    loop {
        // An error here reports an earlier send to a closed port.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        if !address_filter(from) {
            continue;
        }
        let bytes = buffer[..length].to_vec();
        if actor.tell(Received { from, bytes }).await.is_err() {
            return;
        }
    }
}

/// Passes beat intervals to the actor, which says how long the next one is.
async fn tick(actor: ActorRef<NodeActor>) {
    while let Ok(Interval(interval)) = actor.ask(Tick).await {
        tokio::time::sleep(interval).await;
    }
}

/// Has the actor publish its view where that has changed.
async fn publish(actor: ActorRef<NodeActor>) {
    while actor.tell(Publish).await.is_ok() {
        tokio::time::sleep(PUBLISH_INTERVAL).await;
    }
}

/// Makes a function that tells the actor of a newer generation.
pub(crate) fn newer(actor: ActorRef<NodeActor>) -> Arc<dyn Fn(u64) + Send + Sync> {
    Arc::new(move |generation| drop(actor.tell(Newer { generation }).try_send()))
}

/// Addresses from settings as candidates.
pub(crate) fn seeds(peers: &[SocketAddr], process: &Process) -> Vec<Candidate> {
    let near = Some(process.zone.clone());
    peers.iter().map(|address| Candidate { address: *address, zone: near.clone() }).collect()
}
