//! The tasks of the exchange: heartbeats, freshness queries and fetches.

use super::agents::Agents;
use super::constants::{
    CHANGE_DELAY_MAX, CONTACTS_MAX, DATAGRAM_BYTES, DEMAND_MAX, KNOWN_PEERS_EVERY, KNOWN_PEERS_MAX,
    LOADS_INTERVAL, LOADS_MAX, QUERY_AGE, QUERY_INTERVAL, QUERY_PEERS, RELY_CHECKS, RELY_DOUBT_AGE,
};
use super::events;
use super::groups::{Groups, PulseOutcome};
use super::hooks::Hooks;
use super::message::{FetchReply, FetchRequest, Freshness, Heartbeat, Message, send};
use super::relay;
use super::table::Table;
use crate::base::clock::Clock;
use crate::base::name::{Incarnation, Name};
use crate::base::supervise::restart_on_panic;
use crate::catalog::freshness::boot_time;
use crate::catalog::{Catalog, StoreRole};
use crate::ranks::message::{AgentHello, GroupContacts, GroupPulse, MembersQuery};
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};

/// Parameters of the exchange that come from the process.
pub(crate) struct PeerSettings {
    /// Listen address for UDP and TCP.
    pub(crate) address: SocketAddr,
    /// Addresses of the first peers to contact.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Availability zone of this process.
    pub(crate) zone: Name,
    /// Identifies this run of the process.
    pub(crate) incarnation: Incarnation,
}

/// The exchange of one entry with its peers.
pub(crate) struct Peers {
    socket: UdpSocket,
    table: RefCell<Table>,
    catalog: Rc<Catalog>,
    clock: Clock,
    zone: Name,
    incarnation: Incarnation,
    sequence: Cell<u64>,
    /// When the peer loads were last passed to the hook.
    reported_at: Cell<Duration>,
    /// Freshness queries in progress by nonce, with the [`boot_time`] of sending.
    queries: RefCell<IndexMap<u64, Duration>>,
    is_fetching: Cell<bool>,
    agents: RefCell<Agents>,
    groups: RefCell<Groups>,
    /// Position in the lists of agents and entries from which the next hello is answered.
    contact_offset: Cell<usize>,
    hooks: Hooks,
}

impl Peers {
    /// Binds the address and starts the tasks of the exchange.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub(crate) async fn bind(
        settings: PeerSettings,
        catalog: Rc<Catalog>,
        clock: Clock,
        hooks: Hooks,
    ) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(settings.address).await?;
        let listener = TcpListener::bind(settings.address).await?;
        let peers = Rc::new(Self {
            table: RefCell::new(Table::new(socket.local_addr()?, settings.seeds)),
            socket,
            catalog: catalog.clone(),
            clock,
            zone: settings.zone,
            incarnation: settings.incarnation,
            sequence: Cell::new(0),
            reported_at: Cell::default(),
            queries: RefCell::default(),
            is_fetching: Cell::new(false),
            agents: RefCell::default(),
            groups: RefCell::default(),
            contact_offset: Cell::default(),
            hooks,
        });
        tokio::task::spawn_local(relay::serve(listener, catalog));
        let (node, task) = (peers.clone(), "peer datagrams");
        tokio::task::spawn_local(restart_on_panic(task, move || node.clone().receive()));
        let (node, task) = (peers.clone(), "heartbeats");
        tokio::task::spawn_local(restart_on_panic(task, move || node.clone().run_heartbeats()));
        let (node, task) = (peers.clone(), "freshness queries");
        tokio::task::spawn_local(restart_on_panic(task, move || node.clone().run_queries()));
        let (node, task) = (peers.clone(), "announcements");
        tokio::task::spawn_local(restart_on_panic(task, move || node.clone().announce_changes()));
        Ok(peers)
    }

    /// Replaces the seeds after the settings have changed.
    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.table.borrow_mut().set_seeds(seeds);
    }

    async fn run_heartbeats(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            self.table.borrow_mut().expire(now);
            self.report_loads(now);
            self.broadcast_heartbeat().await;
            let interval = self.table.borrow().heartbeat_interval();
            tokio::time::sleep(interval).await;
        }
    }

    fn report_loads(&self, now: Duration) {
        self.reported_at.set(now);
        let mut table = self.table.borrow_mut();
        let size = table.size(now);
        let reported_at = table.loads_time().unwrap_or(now);
        (self.hooks.observe_entries)(table.entry_ids());
        (self.hooks.observe_loads)(&table.peer_loads(), size, reported_at);
        (self.hooks.observe_demand)(&table.peer_demand());
    }

    /// Whether entries of other availability zones are known and all of them are silent.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.table.borrow().is_cut_off(&self.zone, self.clock.now())
    }

    /// Registers an agent. Returns the addresses of its group's agents and of live entries.
    fn register_agent(&self, from: SocketAddr, hello: AgentHello) -> GroupContacts {
        let service = hello.service.clone();
        // A message holds only some entries of a large fleet; the hellos that follow get others.
        let mut entries = self.table.borrow().known_peers(self.contact_offset.get());
        self.contact_offset.set(self.contact_offset.get() + KNOWN_PEERS_MAX);
        entries.extend(self.socket.local_addr().ok());
        let config = self.catalog.config();
        let engine = config.as_ref().and_then(|c| c.services.get(&service)?.engine.as_ref());
        let now = self.clock.now();
        let mut agents = self.agents.borrow_mut().register(from, hello, now);
        // A datagram holds some of the agents of a large group; the hellos that follow get others.
        if agents.len() > CONTACTS_MAX {
            let offset = self.contact_offset.get() % agents.len();
            agents.rotate_left(offset);
            agents.truncate(CONTACTS_MAX);
        }
        GroupContacts { agents, entries, figures: engine.and_then(|e| e.experts) }
    }

    /// Sends a heartbeat to every peer; one in [`KNOWN_PEERS_EVERY`] lists known peers.
    async fn broadcast_heartbeat(&self) {
        let with_peers = (self.sequence.get() + 1) % KNOWN_PEERS_EVERY == 1;
        let to = {
            let mut table = self.table.borrow_mut();
            table.take_new_addresses();
            table.addresses()
        };
        self.send_heartbeat(with_peers, &to).await;
        self.send_part_news(false, &to).await;
        if with_peers {
            // The peers in turn, since one may have missed what it was told after its start.
            let turn = self.sequence.get() / KNOWN_PEERS_EVERY;
            let next = self.table.borrow().live_peers(0, turn as usize).into_iter().next();
            self.send_part_news(true, next.as_slice()).await;
        }
        let limits = (self.hooks.limit_news)();
        if !limits.is_empty() {
            self.send(&Message::Limits(limits), &to).await;
        }
        let promises = (self.hooks.promise_news)();
        if !promises.is_empty() {
            self.send(&Message::Promises(promises), &to).await;
        }
    }

    /// Tells all peers at once what is new on parts of prompts; heartbeats repeat it.
    pub(crate) async fn announce_parts(&self) {
        let to = self.table.borrow().addresses();
        self.send_part_news(false, &to).await;
    }

    async fn send_part_news(&self, all: bool, to: &[SocketAddr]) {
        let news = (self.hooks.part_news)(all);
        if !news.is_empty() {
            self.send(&Message::Parts(news), to).await;
        }
        let news = (self.hooks.request_news)(all);
        if !news.is_empty() {
            self.send(&Message::Requests(news), to).await;
        }
    }

    async fn send_heartbeat(&self, with_peers: bool, to: &[SocketAddr]) {
        let mut loads = (self.hooks.loads)();
        loads.truncate(LOADS_MAX);
        let mut demand = (self.hooks.demand)();
        demand.truncate(DEMAND_MAX);
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let known_peers = with_peers.then(|| self.table.borrow().known_peers(sequence as usize));
        let heartbeat = Heartbeat {
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            sequence,
            version: self.catalog.version(),
            known_peers: known_peers.unwrap_or_default(),
            loads,
            demand,
        };
        self.send(&Message::Heartbeat(heartbeat), to).await;
    }

    /// Applies a heartbeat. Peers that it adds or revives, or that have started anew, get a heartbeat
    /// at once, so that all entries know each other soon after a start, and the number of entries.
    async fn handle_heartbeat(&self, from: SocketAddr, heartbeat: Heartbeat) {
        let now = self.clock.now();
        let new = {
            let mut table = self.table.borrow_mut();
            let incarnation = heartbeat.incarnation;
            let was_live = table.is_live(from, incarnation);
            table.record_heartbeat(from, heartbeat, now);
            let mut new = table.take_new_addresses();
            if !was_live && table.is_live(from, incarnation) {
                new.push(from);
            }
            new
        };
        if !new.is_empty() {
            self.send_heartbeat(true, &new).await;
            self.send_part_news(true, &new).await;
            let size = self.table.borrow_mut().size(now);
            if let Some(entries) = size.sharing {
                let entries = u16::try_from(entries).unwrap_or(u16::MAX);
                self.send(&Message::Entries(entries), &new).await;
            }
        }
        if now >= self.reported_at.get() + LOADS_INTERVAL {
            self.report_loads(now);
        }
    }

    async fn send(&self, message: &Message, to: &[SocketAddr]) {
        send(&self.socket, message, to).await;
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // The socket reports on a receive that a peer it sent to is unreachable.
                    tracing::debug!(%error, "datagram could not be received");
                    continue;
                }
            };
            match postcard::from_bytes(&buffer[..length]) {
                // An answer may lead to a fetch, which takes long compared with the heartbeat
                // interval, so it runs in its own task.
                Ok(Message::Freshness(freshness)) => {
                    tokio::task::spawn_local(self.clone().apply_freshness(from, freshness));
                }
                Ok(Message::Changed { version, list_digest, evacuations }) => {
                    let catalog = &self.catalog;
                    let is_known = version <= catalog.version()
                        && list_digest == catalog.list_digest()
                        && evacuations <= catalog.evacuations_revision();
                    if !is_known && catalog.role() == StoreRole::Relying {
                        tokio::task::spawn_local(self.clone().follow_change(from));
                    }
                }
                Ok(message) => self.handle(from, message).await,
                Err(error) => {
                    let event = events::DATAGRAM_REFUSED;
                    tracing::warn!(event, peer = %from, %error, "datagram could not be decoded");
                }
            }
        }
    }

    async fn handle(&self, from: SocketAddr, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(from, heartbeat).await,
            Message::FreshnessQuery { nonce } => {
                let freshness = Freshness::of(&self.catalog, nonce);
                self.send(&Message::Freshness(freshness), &[from]).await;
            }
            Message::Hello(hello) => {
                let contacts = self.register_agent(from, hello);
                self.send(&Message::Contacts(contacts), &[from]).await;
            }
            Message::Group(status) => {
                self.groups.borrow_mut().apply_status(&status, self.clock.now());
                (self.hooks.observe_group)(&status);
            }
            Message::Pulse(pulse) => self.handle_pulse(from, pulse).await,
            Message::Entries(entries) => self.table.borrow_mut().record_told(entries),
            Message::Limits(news) => (self.hooks.observe_limits)(news),
            Message::Promises(news) => (self.hooks.observe_promises)(from, &news),
            Message::Parts(news) => (self.hooks.observe_parts)(&news),
            Message::Requests(news) => (self.hooks.observe_requests)(&news),
            Message::Changed { .. } => {}
            Message::Freshness(_)
            | Message::Contacts(_)
            | Message::Rank(_)
            | Message::Members(_) => {}
        }
    }

    async fn handle_pulse(&self, from: SocketAddr, pulse: GroupPulse) {
        let group = pulse.group.clone();
        let outcome = self.groups.borrow_mut().apply_pulse(pulse, self.clock.now());
        match outcome {
            PulseOutcome::Status(status) => (self.hooks.observe_group)(&status),
            PulseOutcome::AskMembers => {
                self.send(&Message::Members(MembersQuery { group }), &[from]).await;
            }
            PulseOutcome::Wait => {}
        }
    }

    /// Applies a peer's answer to a freshness query. Its ages count from when the query was sent,
    /// since the peer determined them no earlier.
    async fn apply_freshness(self: Rc<Self>, from: SocketAddr, freshness: Freshness) {
        let sent = self.queries.borrow_mut().shift_remove(&freshness.nonce);
        let Some(sent) = sent else { return };
        // Before the fetches, so that no upstream is known earlier than the evacuations.
        let is_current = self.catalog.apply_peer_evacuations(freshness.evacuations);
        if freshness.version > self.catalog.version() {
            self.fetch_config(from).await;
        }
        if let Some(age) = freshness.config_age_ms.filter(|_| is_current) {
            let at = sent.saturating_sub(Duration::from_millis(age));
            self.catalog.confirm_version(freshness.version, at);
        }
        let Some(age) = freshness.list_age_ms else { return };
        let listed_at = sent.saturating_sub(Duration::from_millis(age));
        let (digest, revision) = (freshness.list_digest, freshness.list_revision);
        if self.catalog.confirm_peer_list(digest, revision, listed_at) {
            return;
        }
        let own = self.catalog.directory_age();
        let margin = match self.catalog.role() {
            StoreRole::Relying => Duration::ZERO,
            StoreRole::Independent | StoreRole::Reader => QUERY_INTERVAL,
        };
        if own.is_none_or(|own| Duration::from_millis(age) + margin < own) {
            self.fetch_list(from).await;
        }
    }

    /// Announces each change to the entries that rely on this one.
    async fn announce_changes(self: Rc<Self>) {
        loop {
            self.catalog.changed().await;
            if self.catalog.role() == StoreRole::Reader {
                let (version, list_digest) = (self.catalog.version(), self.catalog.list_digest());
                let evacuations = self.catalog.evacuations_revision();
                let to = self.table.borrow().live_in_zone(&self.zone);
                self.send(&Message::Changed { version, list_digest, evacuations }, &to).await;
            }
        }
    }

    /// Queries a reader that has announced a change.
    async fn follow_change(self: Rc<Self>, from: SocketAddr) {
        tokio::time::sleep(CHANGE_DELAY_MAX.mul_f64(rand::random())).await;
        self.query(&[from]).await;
    }

    /// Chooses whether this entry reads the store for others or relies on those that do.
    fn update_role(&self) {
        let table = self.table.borrow();
        let readers = table.readers(&self.zone);
        let own = self.socket.local_addr().ok();
        let is_reader = |own| readers.values().flatten().any(|r| *r == own);
        self.catalog.set_role(match own {
            _ if readers.is_empty() => StoreRole::Independent,
            Some(own) if !is_reader(own) => StoreRole::Relying,
            _ => StoreRole::Reader,
        });
    }

    /// Queries the readers of this availability zone, and some of the others while their answers
    /// are missing or old.
    async fn query_readers(&self) {
        let is_old = |age: Option<Duration>| age.is_none_or(|age| age > RELY_DOUBT_AGE);
        let in_doubt = is_old(self.catalog.config_age()) || is_old(self.catalog.directory_age());
        let readers = self.table.borrow().readers(&self.zone);
        let (mut own, mut others) = (Vec::new(), Vec::new());
        for (zone, entries) in readers {
            if zone == self.zone { own.extend(entries) } else { others.extend(entries) }
        }
        let offset = usize::from(rand::random::<u16>()) % others.len().max(1);
        if in_doubt || own.is_empty() {
            others.rotate_left(offset);
            own.extend(others.into_iter().take(QUERY_PEERS));
        }
        self.query(&own).await;
    }

    /// Queries peers while the own configuration is not confirmed or the store fails. Fetches a newer
    /// configuration that a peer reports, if the store does not bring it by the next check.
    async fn run_queries(self: Rc<Self>) {
        let mut missed = None;
        for check in 0u64.. {
            tokio::time::sleep(QUERY_INTERVAL).await;
            self.update_role();
            if self.catalog.role() == StoreRole::Relying && check.is_multiple_of(RELY_CHECKS) {
                self.query_readers().await;
            }
            let is_stale = self.catalog.config_age().is_none_or(|age| age > QUERY_AGE);
            let own = self.catalog.version();
            let newer = self.table.borrow().newer_peer(own);
            // A store that has come back from a copy may lack what peers have.
            let is_missed = newer.is_some() && missed == Some(own);
            missed = newer.map(|_| own);
            let must_fetch = is_missed || is_stale || self.catalog.is_store_failing();
            if let Some(peer) = newer.filter(|_| must_fetch) {
                self.fetch_config(peer).await;
            }
            if is_stale || self.catalog.is_store_failing() {
                self.query_peers().await;
            }
        }
    }

    async fn query_peers(&self) {
        let offset: usize = rand::random::<u16>().into();
        let mut peers = self.table.borrow().live_peers(self.catalog.version(), offset);
        peers.truncate(QUERY_PEERS);
        self.query(&peers).await;
    }

    async fn query(&self, peers: &[SocketAddr]) {
        let now = boot_time();
        for peer in peers {
            let nonce = rand::random();
            self.record_query(nonce, now);
            self.send(&Message::FreshnessQuery { nonce }, &[*peer]).await;
        }
    }

    fn record_query(&self, nonce: u64, now: Duration) {
        let mut queries = self.queries.borrow_mut();
        queries.retain(|_, sent| now.saturating_sub(*sent) < QUERY_AGE);
        queries.insert(nonce, now);
    }

    async fn fetch_config(&self, peer: SocketAddr) {
        if let Some(FetchReply::Config { raw, revision }) =
            self.fetch(peer, FetchRequest::Config).await
        {
            self.catalog.apply_config(raw.into(), revision, "peer");
        }
    }

    async fn fetch_list(&self, peer: SocketAddr) {
        let sent = boot_time();
        if let Some(FetchReply::List { listed, revision, age_ms }) =
            self.fetch(peer, FetchRequest::List).await
        {
            let listed_at = sent.saturating_sub(Duration::from_millis(age_ms));
            self.catalog.apply_peer_list(listed, revision, listed_at);
        }
    }

    /// Fetches `what` from a peer. Returns `None` on failure, and at once if another fetch is in
    /// progress.
    async fn fetch(&self, peer: SocketAddr, what: FetchRequest) -> Option<FetchReply> {
        if self.is_fetching.replace(true) {
            return None;
        }
        let reply = relay::fetch(peer, what).await;
        self.is_fetching.set(false);
        match reply {
            Ok(reply) => Some(reply),
            Err(error) => {
                tracing::warn!(event = events::PULL_FAILED, %peer, ?what, %error, "fetch from peer failed");
                None
            }
        }
    }
}
