//! The actor that owns membership and the document in force, on the control thread.

use super::constants::{CATCH_UP_LIMIT, GATHER_TIME, START_LIMIT};
use super::events;
use super::feed::Feed;
use super::log::log_changes;
use super::members::{Candidate, DocumentStatus, Members, Outgoing};
use super::node::{AddressFilter, NodeSettings, newer, seeds};
use super::report::LoadReport;
use super::row::Datagram;
use super::spread::Spread;
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

/// A datagram has arrived.
pub(crate) struct Received {
    pub(crate) from: SocketAddr,
    pub(crate) bytes: Vec<u8>,
}

/// A beat interval has passed. Answered with the length of the next one.
pub(crate) struct Tick;

/// Length of the next beat interval.
#[derive(Reply)]
pub(crate) struct Interval(pub(crate) Duration);

/// Publish the view if it has changed.
pub(crate) struct Publish;

/// Whether this process watches the platform.
pub(crate) struct Watched;

/// This agent's upstream reports its load.
pub(crate) struct Report {
    pub(crate) report: LoadReport,
}

/// A peer on a link has a newer generation.
pub(crate) struct Newer {
    pub(crate) generation: u64,
}

/// The platform has answered a read or watch; no text where nothing has changed.
pub(crate) struct PlatformAnswer {
    pub(crate) text: Option<String>,
}

/// A call to the platform has failed.
pub(crate) struct PlatformFailed;

/// The platform's list of hosts.
pub(crate) struct HostList {
    pub(crate) hosts: Vec<Candidate>,
}

/// What the actor publishes.
pub(crate) struct Outputs {
    pub(crate) document: Arc<ArcSwap<Document>>,
    pub(crate) view: Arc<ArcSwap<View>>,
    pub(crate) changed: watch::Receiver<u64>,
    pub(crate) ready: watch::Receiver<bool>,
    pub(crate) watching: watch::Receiver<bool>,
    confirmed: Arc<AtomicU64>,
}

impl Outputs {
    /// The read-only side for the other slices.
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
            newer: newer(actor),
            ready: self.ready.clone(),
            age: Arc::new(age),
        }
    }
}

/// State of a running member.
#[derive(Actor)]
pub(crate) struct NodeActor {
    members: Members,
    spread: Spread,
    secrets: Secrets,
    socket: Arc<UdpSocket>,
    traffic: Arc<Traffic>,
    address_filter: AddressFilter,
    clock: Clock,
    started: Duration,
    seeds: Vec<Candidate>,
    hosts: Vec<Candidate>,
    platform_tried: bool,
    dirty: bool,
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
            spread: Spread::new(now),
            secrets: settings.secrets.clone(),
            socket,
            traffic,
            address_filter: settings.address_filter.clone(),
            clock: settings.clock,
            started: now,
            seeds,
            hosts: Vec::new(),
            platform_tried: settings.platform.is_none(),
            dirty: true,
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
            "taking part"
        );
        (actor, outputs)
    }

    fn standing(&self) -> DocumentStatus {
        self.spread.standing(self.clock.now())
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

    fn send_beats(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { to, heartbeat } in outgoing {
            self.send(to, &Datagram::Heartbeat(heartbeat));
        }
    }

    fn take(&mut self, from: SocketAddr, datagram: Datagram) {
        let now = self.clock.now();
        match datagram {
            Datagram::Heartbeat(beat) => {
                let taken = self.members.receive(now, from, beat, self.standing());
                self.dirty = true;
                log_changes(&taken.changes);
                self.send_beats(taken.replies);
                if let Some(announced) = taken.announced {
                    let ask = self.spread.hear(now, announced);
                    self.send_ask(ask);
                }
            }
            Datagram::Ask(ask) => {
                let pieces = self.spread.answer(&ask);
                pieces.into_iter().for_each(|p| self.send(from, &Datagram::Piece(p)));
            }
            Datagram::Piece(piece) => {
                let before = self.spread.version();
                let ask = self.spread.take(now, from, &piece);
                self.send_ask(ask);
                self.note_document(before);
            }
        }
    }

    fn send_ask(&self, ask: Option<super::spread::Asking>) {
        if let Some(asking) = ask {
            self.send(asking.to, &Datagram::Ask(asking.ask));
        }
    }

    /// Publishes and announces the document if it has changed.
    fn note_document(&mut self, before: Option<crate::fleet::Version>) {
        let confirmed = self.spread.confirmed().as_millis() as u64;
        self.confirmed.store(confirmed, Ordering::Relaxed);
        if self.spread.version() == before {
            return;
        }
        self.document.store(self.spread.document());
        self.set_candidates();
        self.dirty = true;
        self.publish();
        let standing = self.standing();
        let beats = self.members.announce(standing);
        self.send_beats(beats);
        self.judge_start();
    }

    /// Gathers the addresses of seeds, of the platform's list and of the document's agents.
    fn set_candidates(&mut self) {
        let agents = self.spread.document();
        let agents = agents.upstreams.values();
        let agents = agents.map(|u| Candidate { address: u.agent, zone: Some(u.zone.clone()) });
        let all = self.seeds.iter().chain(&self.hosts).cloned().chain(agents);
        let mut seen = std::collections::HashSet::new();
        let unique = all.filter(|c| seen.insert(c.address)).collect();
        self.members.set_candidates(unique);
    }

    fn publish(&mut self) {
        if !self.dirty {
            return;
        }
        self.dirty = false;
        self.view.store(Arc::new(self.members.view(&self.spread.document())));
        self.changed.send_modify(|n| *n += 1);
    }

    /// Decides whether the process may serve from now on.
    fn judge_start(&mut self) {
        if *self.ready.borrow() {
            return;
        }
        let waited = self.clock.now().saturating_sub(self.started);
        let behind = self.spread.is_behind();
        let current = !behind && self.spread.version().is_some() && self.members.near_live() > 0;
        let reason = if current && self.platform_tried && waited >= GATHER_TIME {
            "it has the highest document of platform and peers"
        } else if !behind && waited >= START_LIMIT {
            "nobody has a higher document within the limit"
        } else if waited >= CATCH_UP_LIMIT {
            "the highest document cannot be fetched"
        } else {
            return;
        };
        let generation = self.spread.document().generation;
        let peers = self.members.near_live();
        tracing::info!(event = events::NODE_READY, generation, peers, reason, "ready");
        self.ready.send_replace(true);
    }

    fn judge_watch(&mut self) {
        let watching = self.members.is_watcher(self.clock.now());
        let changed =
            self.watching.send_if_modified(|w| std::mem::replace(w, watching) != watching);
        if changed {
            tracing::info!(event = events::WATCHING, watching, "watching of the platform");
        }
    }
}

impl Message<Received> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, message: Received, _: &mut Context<Self, Self::Reply>) {
        self.traffic.count_received(message.bytes.len());
        match unseal(&self.secrets, &message.bytes) {
            Ok(datagram) => self.take(message.from, datagram),
            Err(_) => drop(self.traffic.refused.fetch_add(1, Ordering::Relaxed)),
        }
    }
}

impl Message<Tick> for NodeActor {
    type Reply = Interval;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) -> Interval {
        let now = self.clock.now();
        let standing = self.standing();
        let ticked = self.members.tick(now, standing, &mut rand::rng());
        self.dirty |= !ticked.changes.is_empty();
        log_changes(&ticked.changes);
        self.send_beats(ticked.outgoing);
        let ask = self.spread.retry(now);
        self.send_ask(ask);
        let confirmed = self.spread.confirmed().as_millis() as u64;
        self.confirmed.store(confirmed, Ordering::Relaxed);
        self.judge_watch();
        self.judge_start();
        Interval(self.members.interval())
    }
}

impl Message<Publish> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, _: Publish, _: &mut Context<Self, Self::Reply>) {
        self.publish();
    }
}

impl Message<Watched> for NodeActor {
    type Reply = bool;

    async fn handle(&mut self, _: Watched, _: &mut Context<Self, Self::Reply>) -> bool {
        *self.watching.borrow()
    }
}

impl Message<Report> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, message: Report, _: &mut Context<Self, Self::Reply>) {
        self.members.set_report(message.report);
    }
}

impl Message<Newer> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, message: Newer, _: &mut Context<Self, Self::Reply>) {
        // The answers to these beats carry the newer version.
        if message.generation > self.spread.document().generation {
            let beats = self.members.inquire(self.standing());
            self.send_beats(beats);
        }
    }
}

impl Message<PlatformAnswer> for NodeActor {
    type Reply = ();

    async fn handle(&mut self, message: PlatformAnswer, _: &mut Context<Self, Self::Reply>) {
        self.platform_tried = true;
        let before = self.spread.version();
        let now = self.clock.now();
        match message.text {
            Some(text) => self.spread.read(now, &text),
            None => self.spread.confirm_unchanged(now),
        }
        self.note_document(before);
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
