//! Actor that owns the membership state and the document in force.

use super::constants::{CATCH_UP_LIMIT, GATHER_TIME, READY_LIMIT};
use super::events;
use super::feed::Feed;
use super::log::log_changes;
use super::members::{Candidate, DocumentStatus, Members, Outgoing};
use super::node::{AddressFilter, NodeSettings, generation_reporter, seeds};
use super::report::LoadReport;
use super::row::Datagram;
use super::spread::DocumentSync;
use super::traffic::Traffic;
use super::view::View;
use crate::base::clock::Clock;
use crate::fleet::Document;
use crate::wire::{Secrets, seal, unseal};
use arc_swap::ArcSwap;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use kameo::{Actor, Reply};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// A datagram was received.
pub(crate) struct DatagramReceived {
    pub(crate) from: SocketAddr,
    pub(crate) bytes: Vec<u8>,
}

/// A heartbeat interval has ended. The reply is the length of the next one.
pub(crate) struct Tick;

/// Length of the next heartbeat interval.
#[derive(Reply)]
pub(crate) struct Interval(pub(crate) Duration);

/// Publishes the view if it has changed.
pub(crate) struct Publish;

/// Asks whether this process watches the platform.
pub(crate) struct IsWatching;

/// Load report of this agent's upstream.
pub(crate) struct ReportLoad {
    pub(crate) report: LoadReport,
}

/// Generation of a peer on a link.
pub(crate) struct PeerGeneration {
    pub(crate) generation: u64,
}

/// Response to a read or watch of the document; no text if it is unchanged.
pub(crate) struct PlatformReply {
    pub(crate) text: Option<String>,
}

/// A platform call failed.
pub(crate) struct PlatformFailed;

/// The platform's host list.
pub(crate) struct HostList {
    pub(crate) hosts: Vec<Candidate>,
}

/// Receiving side of what the actor publishes.
pub(crate) struct Outputs {
    pub(crate) document: Arc<ArcSwap<Document>>,
    pub(crate) view: Arc<ArcSwap<View>>,
    pub(crate) changed: watch::Receiver<u64>,
    pub(crate) ready: watch::Receiver<bool>,
    pub(crate) watching: watch::Receiver<bool>,
    confirmed: Arc<AtomicU64>,
}

impl Outputs {
    /// Read access for the rest of the process.
    pub(crate) fn feed(&self, actor: ActorRef<NodeActor>, clock: Clock) -> Feed {
        let confirmed = self.confirmed.clone();
        let age = move || {
            let at = Duration::from_millis(confirmed.load(Ordering::Relaxed));
            clock.now().saturating_sub(at)
        };
        Feed {
            document: self.document.clone(),
            view: self.view.clone(),
            changed: self.changed.clone(),
            report_generation: generation_reporter(actor),
            ready: self.ready.clone(),
            age: Arc::new(age),
        }
    }
}

/// State of a running node.
#[derive(Actor)]
pub(crate) struct NodeActor {
    members: Members,
    document_sync: DocumentSync,
    secrets: Secrets,
    socket: Arc<UdpSocket>,
    traffic: Arc<Traffic>,
    address_filter: AddressFilter,
    clock: Clock,
    started: Duration,
    seeds: Vec<Candidate>,
    hosts: Vec<Candidate>,
    /// Whether the first platform call has ended, or there is no platform.
    platform_tried: bool,
    view_changed: bool,
    document: Arc<ArcSwap<Document>>,
    view: Arc<ArcSwap<View>>,
    changed: watch::Sender<u64>,
    ready: watch::Sender<bool>,
    watching: watch::Sender<bool>,
    confirmed: Arc<AtomicU64>,
}

impl NodeActor {
    pub(crate) fn new(
        settings: &NodeSettings,
        socket: Arc<UdpSocket>,
        traffic: Arc<Traffic>,
    ) -> (Self, Outputs) {
        let now = settings.clock.now();
        let seeds = seeds(&settings.peers, &settings.process);
        let mut members = Members::new(settings.process.clone(), now);
        members.set_candidates(seeds.clone());
        let (changed, changed_out) = watch::channel(0);
        let (ready, ready_out) = watch::channel(false);
        let (watching, watching_out) = watch::channel(false);
        let actor = Self {
            members,
            document_sync: DocumentSync::new(now),
            secrets: settings.secrets.clone(),
            socket,
            traffic,
            address_filter: settings.address_filter.clone(),
            clock: settings.clock,
            started: now,
            seeds,
            hosts: Vec::new(),
            platform_tried: settings.platform.is_none(),
            view_changed: true,
            document: Arc::default(),
            view: Arc::default(),
            changed,
            ready,
            watching,
            confirmed: Arc::new(AtomicU64::new(now.as_millis() as u64)),
        };
        let outputs = Outputs {
            document: actor.document.clone(),
            view: actor.view.clone(),
            changed: changed_out,
            ready: ready_out,
            watching: watching_out,
            confirmed: actor.confirmed.clone(),
        };
        tracing::info!(
            event = events::NODE_STARTED,
            name = %settings.process.name,
            zone = %settings.process.zone,
            address = %settings.process.address,
            incarnation = %settings.process.incarnation,
            "membership started"
        );
        (actor, outputs)
    }

    fn document_status(&self) -> DocumentStatus {
        self.document_sync.status(self.clock.now())
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        if !(self.address_filter)(to) {
            return;
        }
        let Ok(bytes) = seal(&self.secrets, datagram) else { return };
        match self.socket.try_send_to(&bytes, to) {
            Ok(_) => self.traffic.count_sent(bytes.len()),
            Err(_) => drop(self.traffic.dropped.fetch_add(1, Ordering::Relaxed)),
        }
    }

    fn send_heartbeats(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { to, heartbeat } in outgoing {
            self.send(to, &Datagram::Heartbeat(heartbeat));
        }
    }

    fn handle_datagram(&mut self, from: SocketAddr, datagram: Datagram) {
        let now = self.clock.now();
        match datagram {
            Datagram::Heartbeat(heartbeat) => {
                let result = self.members.receive(now, from, heartbeat, self.document_status());
                self.view_changed = true;
                log_changes(&result.changes);
                self.send_heartbeats(result.replies);
                if let Some(announcement) = result.announcement {
                    let request = self.document_sync.note_announcement(now, announcement);
                    self.send_request(request);
                }
            }
            Datagram::ChunkRequest(request) => {
                let chunks = self.document_sync.chunks_for(&request);
                chunks.into_iter().for_each(|c| self.send(from, &Datagram::Chunk(c)));
            }
            Datagram::Chunk(chunk) => {
                let before = self.document_sync.version();
                let request = self.document_sync.receive_chunk(now, from, &chunk);
                self.send_request(request);
                self.apply_document_change(before);
            }
        }
    }

    fn send_request(&self, request: Option<super::spread::OutgoingRequest>) {
        if let Some(outgoing) = request {
            self.send(outgoing.to, &Datagram::ChunkRequest(outgoing.request));
        }
    }

    /// Publishes and announces the document if its version differs from `before`.
    fn apply_document_change(&mut self, before: Option<crate::fleet::Version>) {
        let confirmed = self.document_sync.confirmed().as_millis() as u64;
        self.confirmed.store(confirmed, Ordering::Relaxed);
        if self.document_sync.version() == before {
            return;
        }
        self.document.store(self.document_sync.document());
        self.set_candidates();
        self.view_changed = true;
        self.publish();
        let status = self.document_status();
        let heartbeats = self.members.announce(status);
        self.send_heartbeats(heartbeats);
        self.update_ready();
    }

    /// Merges the candidates from the settings, the host list and the document's agents.
    fn set_candidates(&mut self) {
        let document = self.document_sync.document();
        let agents = document.upstreams.values();
        let agents = agents.map(|u| Candidate { address: u.agent, zone: Some(u.zone.clone()) });
        let all = self.seeds.iter().chain(&self.hosts).cloned().chain(agents);
        let mut seen = std::collections::HashSet::new();
        let unique = all.filter(|c| seen.insert(c.address)).collect();
        self.members.set_candidates(unique);
    }

    fn publish(&mut self) {
        if !self.view_changed {
            return;
        }
        self.view_changed = false;
        self.view.store(Arc::new(self.members.view(&self.document_sync.document())));
        self.changed.send_modify(|n| *n += 1);
    }

    /// Marks the process as ready once it may serve; this is never revoked.
    fn update_ready(&mut self) {
        if *self.ready.borrow() {
            return;
        }
        let waited = self.clock.now().saturating_sub(self.started);
        let is_behind = self.document_sync.is_behind();
        let is_current = !is_behind
            && self.document_sync.version().is_some()
            && self.members.live_zone_peers() > 0;
        let reason = if is_current && self.platform_tried && waited >= GATHER_TIME {
            "it has the highest document of platform and peers"
        } else if !is_behind && waited >= READY_LIMIT {
            "nobody has a higher document within the limit"
        } else if waited >= CATCH_UP_LIMIT {
            "the highest document cannot be fetched"
        } else {
            return;
        };
        let generation = self.document_sync.document().generation;
        let peers = self.members.live_zone_peers();
        tracing::info!(event = events::NODE_READY, generation, peers, reason, "process is ready");
        self.ready.send_replace(true);
    }

    fn update_watching(&mut self) {
        let watching = self.members.is_watcher(self.clock.now());
        let changed =
            self.watching.send_if_modified(|w| std::mem::replace(w, watching) != watching);
        if changed {
            tracing::info!(event = events::WATCHING, watching, "platform watch changed");
        }
    }
}

impl Message<DatagramReceived> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, message: DatagramReceived, _: &mut Context<Self, Self::Reply>) {
        self.traffic.count_received(message.bytes.len());
        match unseal(&self.secrets, &message.bytes) {
            Ok(datagram) => self.handle_datagram(message.from, datagram),
            Err(_) => drop(self.traffic.refused.fetch_add(1, Ordering::Relaxed)),
        }
    }
}

impl Message<Tick> for NodeActor {
    type Reply = Interval;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) -> Interval {
        let now = self.clock.now();
        let status = self.document_status();
        let ticked = self.members.tick(now, status, &mut rand::rng());
        self.view_changed |= !ticked.changes.is_empty();
        log_changes(&ticked.changes);
        self.send_heartbeats(ticked.outgoing);
        let request = self.document_sync.retry(now);
        self.send_request(request);
        let confirmed = self.document_sync.confirmed().as_millis() as u64;
        self.confirmed.store(confirmed, Ordering::Relaxed);
        self.update_watching();
        self.update_ready();
        Interval(self.members.interval())
    }
}

impl Message<Publish> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, _: Publish, _: &mut Context<Self, Self::Reply>) {
        self.publish();
    }
}

impl Message<IsWatching> for NodeActor {
    type Reply = bool;

    async fn handle(&mut self, _: IsWatching, _: &mut Context<Self, Self::Reply>) -> bool {
        *self.watching.borrow()
    }
}

impl Message<ReportLoad> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, message: ReportLoad, _: &mut Context<Self, Self::Reply>) {
        self.members.set_report(message.report);
    }
}

impl Message<PeerGeneration> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, message: PeerGeneration, _: &mut Context<Self, Self::Reply>) {
        // The replies to these heartbeats carry the newer version.
        if message.generation > self.document_sync.document().generation {
            let heartbeats = self.members.query_versions(self.document_status());
            self.send_heartbeats(heartbeats);
        }
    }
}

impl Message<PlatformReply> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, message: PlatformReply, _: &mut Context<Self, Self::Reply>) {
        self.platform_tried = true;
        let before = self.document_sync.version();
        let now = self.clock.now();
        match message.text {
            Some(text) => self.document_sync.apply_platform_text(now, &text),
            None => self.document_sync.confirm_unchanged(now),
        }
        self.apply_document_change(before);
    }
}

impl Message<PlatformFailed> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, _: PlatformFailed, _: &mut Context<Self, Self::Reply>) {
        self.platform_tried = true;
    }
}

impl Message<HostList> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, message: HostList, _: &mut Context<Self, Self::Reply>) {
        self.hosts = message.hosts;
        self.set_candidates();
    }
}
