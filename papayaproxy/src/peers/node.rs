//! The running exchange of one entry: its datagrams, questions and transfers.

use super::agents::Agents;
use super::constants::{
    ASK_AGE, ASK_INTERVAL, ASK_PEERS, DATAGRAM_BYTES, LEARN_INTERVAL, LOADS_MAX, NAMES_EVERY,
};
use super::events;
use super::message::{FetchReply, FetchRequest, Freshness, Heartbeat, Message, UpstreamLoad, send};
use super::relay;
use super::table::{PeerLoads, Table};
use crate::base::clock::Clock;
use crate::base::name::{Incarnation, Name};
use crate::catalog::Catalog;
use crate::catalog::freshness::boot_time;
use crate::ranks::message::{AgentHello, GroupContacts, GroupStatus};
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};

/// What the exchange needs of the process.
pub(crate) struct PeerSettings {
    /// Address for peers, over UDP and TCP.
    pub(crate) address: SocketAddr,
    /// Addresses of some peers.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The process' availability zone.
    pub(crate) zone: Name,
    /// This run of the process.
    pub(crate) incarnation: Incarnation,
}

/// The running exchange.
pub(crate) struct Peers {
    socket: UdpSocket,
    table: RefCell<Table>,
    catalog: Rc<Catalog>,
    clock: Clock,
    zone: Name,
    incarnation: Incarnation,
    sequence: Cell<u64>,
    /// When the peers' load was last given to the balance.
    summed: Cell<Duration>,
    /// Questions by nonce, with the time of asking.
    asked: RefCell<IndexMap<u64, Duration>>,
    pulling: Cell<bool>,
    agents: RefCell<Agents>,
    hooks: Hooks,
}

/// Takes what the peers run, how many entries there are, and when the peers told it on average.
pub(crate) type ObserveLoads = Box<dyn Fn(&PeerLoads, usize, Duration)>;

/// Where the exchange takes what it tells, and gives what it hears.
pub(crate) struct Hooks {
    /// What this entry runs at each upstream.
    pub(crate) loads: Box<dyn Fn() -> Vec<UpstreamLoad>>,
    /// Takes what the peers run.
    pub(crate) observe_loads: ObserveLoads,
    /// Takes the picture of a lock-step group.
    pub(crate) observe_group: Box<dyn Fn(&GroupStatus)>,
}

impl Peers {
    /// Binds the address and starts the exchange.
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
            summed: Cell::default(),
            asked: RefCell::default(),
            pulling: Cell::new(false),
            agents: RefCell::default(),
            hooks,
        });
        tokio::task::spawn_local(relay::serve(listener, catalog));
        tokio::task::spawn_local(peers.clone().receive());
        tokio::task::spawn_local(peers.clone().beat());
        tokio::task::spawn_local(peers.clone().ask());
        Ok(peers)
    }

    /// Takes other seeds, after a change of the settings.
    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.table.borrow_mut().set_seeds(seeds);
    }

    async fn beat(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            self.table.borrow_mut().advance(now);
            self.learn(now);
            self.send_beats().await;
            let interval = self.table.borrow().interval();
            tokio::time::sleep(interval).await;
        }
    }

    fn learn(&self, now: Duration) {
        self.summed.set(now);
        let table = self.table.borrow();
        (self.hooks.observe_loads)(&table.running(), table.most(), table.told().unwrap_or(now));
    }

    /// Whether no entry of another availability zone is heard of any more.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.table.borrow().is_cut_off(&self.zone, self.clock.now())
    }

    /// Introduces an agent to the others of its group.
    fn meet(&self, from: SocketAddr, here: AgentHello) -> GroupContacts {
        let service = here.service.clone();
        let mut entries = self.table.borrow().names(0);
        entries.extend(self.socket.local_addr().ok());
        let config = self.catalog.config();
        let engine = config.as_ref().and_then(|c| c.services.get(&service)?.engine.as_ref());
        let now = self.clock.now();
        let agents = self.agents.borrow_mut().meet(from, here, now);
        GroupContacts { agents, entries, figures: engine.and_then(|e| e.experts) }
    }

    /// Sends a beat to every peer, now and then with the names of others.
    async fn send_beats(&self) {
        let named = (self.sequence.get() + 1) % NAMES_EVERY == 1;
        let to = {
            let mut table = self.table.borrow_mut();
            table.take_learned();
            table.addresses()
        };
        self.send_beat(named, &to).await;
    }

    async fn send_beat(&self, named: bool, to: &[SocketAddr]) {
        let mut loads = (self.hooks.loads)();
        loads.truncate(LOADS_MAX);
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let names = named.then(|| self.table.borrow().names(sequence as usize));
        let beat = Heartbeat {
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            sequence,
            version: self.catalog.version(),
            names: names.unwrap_or_default(),
            loads,
        };
        self.send(&Message::Heartbeat(beat), to).await;
    }

    /// Takes a beat. Who is new gets one at once, so that all know each other soon after a start.
    async fn take_beat(&self, from: SocketAddr, beat: Heartbeat) {
        let now = self.clock.now();
        let new = {
            let mut table = self.table.borrow_mut();
            let was_live = table.is_live(from);
            table.heard(from, beat, now);
            let mut new = table.take_learned();
            if !was_live && table.is_live(from) {
                new.push(from);
            }
            new
        };
        if !new.is_empty() {
            self.send_beat(true, &new).await;
        }
        if now >= self.summed.get() + LEARN_INTERVAL {
            self.learn(now);
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
                    // A peer that is away is reported here, on the next receive.
                    tracing::debug!(%error, "receive failed");
                    continue;
                }
            };
            match postcard::from_bytes(&buffer[..length]) {
                // A transfer takes long against the time between beats, so it runs beside them.
                Ok(Message::Freshness(tell)) => {
                    tokio::task::spawn_local(self.clone().told(from, tell));
                }
                Ok(message) => self.take(from, message).await,
                Err(error) => {
                    let event = events::DATAGRAM_REFUSED;
                    tracing::warn!(event, peer = %from, %error, "datagram refused");
                }
            }
        }
    }

    async fn take(&self, from: SocketAddr, message: Message) {
        match message {
            Message::Heartbeat(beat) => self.take_beat(from, beat).await,
            Message::FreshnessQuery { nonce } => {
                let millis = |age: Duration| age.as_millis() as u64;
                let tell = Freshness {
                    nonce,
                    version: self.catalog.version(),
                    proof_ms: self.catalog.config_age().map(millis),
                    list_ms: self.catalog.directory_age().map(millis),
                };
                self.send(&Message::Freshness(tell), &[from]).await;
            }
            Message::Hello(here) => {
                let around = self.meet(from, here);
                self.send(&Message::Contacts(around), &[from]).await;
            }
            Message::Group(picture) => (self.hooks.observe_group)(&picture),
            Message::Freshness(_) | Message::Contacts(_) | Message::Rank(_) => {}
        }
    }

    /// Takes a peer's statement. Its ages count from the time of asking, before which they were
    /// not worked out.
    async fn told(self: Rc<Self>, from: SocketAddr, tell: Freshness) {
        let asked = self.asked.borrow_mut().shift_remove(&tell.nonce);
        let Some(asked) = asked else { return };
        if tell.version > self.catalog.version() {
            self.pull_config(from).await;
        }
        if let Some(age) = tell.proof_ms {
            let at = asked.saturating_sub(Duration::from_millis(age));
            self.catalog.confirm_version(tell.version, at);
        }
        let own = self.catalog.directory_age();
        let their = tell.list_ms.map(Duration::from_millis);
        if their.is_some_and(|their| own.is_none_or(|own| their + ASK_INTERVAL < own)) {
            self.pull_list(from).await;
        }
    }

    async fn ask(self: Rc<Self>) {
        loop {
            tokio::time::sleep(ASK_INTERVAL).await;
            let stale = self.catalog.config_age().is_none_or(|age| age > ASK_AGE);
            let newer = self.table.borrow().newer(self.catalog.version());
            if let Some(peer) = newer.filter(|_| stale || self.catalog.is_store_failing()) {
                self.pull_config(peer).await;
            }
            if stale || self.catalog.is_store_failing() {
                self.ask_peers().await;
            }
        }
    }

    async fn ask_peers(&self) {
        let turn: usize = rand::random::<u16>().into();
        let mut peers = self.table.borrow().live(self.catalog.version(), turn);
        peers.truncate(ASK_PEERS);
        let now = boot_time();
        for peer in peers {
            let nonce = rand::random();
            self.note_asked(nonce, now);
            self.send(&Message::FreshnessQuery { nonce }, &[peer]).await;
        }
    }

    fn note_asked(&self, nonce: u64, now: Duration) {
        let mut asked = self.asked.borrow_mut();
        asked.retain(|_, at| now.saturating_sub(*at) < ASK_AGE);
        asked.insert(nonce, now);
    }

    async fn pull_config(&self, peer: SocketAddr) {
        if let Some(FetchReply::Config { raw, revision }) =
            self.pull(peer, FetchRequest::Config).await
        {
            self.catalog.apply_config(raw.into(), revision, "peer");
        }
    }

    async fn pull_list(&self, peer: SocketAddr) {
        let asked = self.clock.now();
        if let Some(FetchReply::List { listed, age_ms }) = self.pull(peer, FetchRequest::List).await
        {
            let transit = self.clock.now().saturating_sub(asked);
            self.catalog.apply_peer_list(listed, Duration::from_millis(age_ms) + transit);
        }
    }

    /// One transfer at a time.
    async fn pull(&self, peer: SocketAddr, what: FetchRequest) -> Option<FetchReply> {
        if self.pulling.replace(true) {
            return None;
        }
        let pulled = relay::pull(peer, what).await;
        self.pulling.set(false);
        match pulled {
            Ok(pulled) => Some(pulled),
            Err(error) => {
                tracing::warn!(event = events::PULL_FAILED, %peer, ?what, %error, "pull failed");
                None
            }
        }
    }
}
