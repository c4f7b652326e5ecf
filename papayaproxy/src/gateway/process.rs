//! The running entry: what its parts share, its readiness and its graceful stop.

use super::constants::{
    KEY_AGE_PART, READY_AGE, SEAT_TICK, STATE_INTERVAL, STOP_CLOSE, STOP_END, STOP_STREAMS,
};
use super::edge;
use super::events;
use super::meters::Meters;
use super::pool::Pool;
use super::seats::Seats;
use super::settings::GatewaySettings;
use crate::balance::Balancer;
use crate::base::clock::Clock;
use crate::base::error::ProcessError;
use crate::base::name::{Incarnation, Name};
use crate::catalog::{Catalog, Route};
use crate::limits::CircuitSettings;
use crate::peers::{Hooks, PeerSettings, Peers};
use crate::platform::Store;
use crate::telemetry::{Metrics, OpsEndpoint, Status, StatusSource};
use indexmap::IndexMap;
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Circuits of upstreams that are called directly: short waits, since each entry sees few answers.
const CIRCUIT: CircuitSettings = CircuitSettings {
    ratio: 0.5,
    first: Duration::from_millis(1000),
    longest: Duration::from_millis(5000),
};

/// What the parts of the process share.
pub(crate) struct Shared {
    /// The clock of all decisions.
    pub(crate) clock: Clock,
    /// Configuration and upstreams.
    pub(crate) catalog: Rc<Catalog>,
    /// The desk.
    pub(crate) seats: Rc<Seats>,
    /// Connections to upstreams.
    pub(crate) pool: Pool,
    /// Counters and histograms.
    pub(crate) meters: Meters,
    /// Ends open connections once their request is answered.
    pub(crate) closing: CancellationToken,
    settings: GatewaySettings,
    stopping: Cell<Option<Duration>>,
    requests: Cell<u64>,
    ready: Cell<bool>,
    status: Arc<Mutex<Status>>,
    /// The exchange with the other entries, once it runs.
    peers: OnceCell<Rc<Peers>>,
    /// Longest patience seen of a route's clients.
    patience: RefCell<IndexMap<Name, Duration>>,
}

/// A request in progress.
pub(crate) struct Busy {
    shared: Rc<Shared>,
}

/// A running entry.
pub struct Gateway {
    shared: Rc<Shared>,
    peers: Rc<Peers>,
    address: SocketAddr,
    _ops: OpsEndpoint,
}

impl Gateway {
    /// Binds every address and starts serving. Runs on the thread's `LocalSet`.
    ///
    /// # Errors
    /// An address that cannot be bound, or an exporter that cannot be set up.
    pub async fn open(settings: GatewaySettings) -> Result<Self, ProcessError> {
        let clock = Clock::start();
        let incarnation = Incarnation::generate();
        let metrics = Metrics::open().map_err(|reason| ProcessError::Metrics { reason })?;
        let listener = bind(settings.address).await?;
        let address = listener.local_addr().unwrap_or(settings.address);
        let catalog = Catalog::spawn(Store::new(settings.store), clock);
        let desk = Balancer::new(settings.zone.clone(), settings.budget, CIRCUIT);
        let seats = Seats::spawn(desk, clock);
        let meters = Meters::new(&metrics);
        let status = Arc::new(Mutex::new(Status::default()));
        let shared = Rc::new(Shared {
            clock,
            catalog: catalog.clone(),
            seats: seats.clone(),
            pool: Pool::new(clock),
            meters,
            closing: CancellationToken::new(),
            stopping: Cell::default(),
            requests: Cell::new(0),
            ready: Cell::new(false),
            status: status.clone(),
            peers: OnceCell::new(),
            patience: RefCell::default(),
            settings: settings.clone(),
        });
        let peer_settings = PeerSettings {
            address: settings.peers,
            seeds: settings.seeds.clone(),
            zone: settings.zone.clone(),
            incarnation,
        };
        let (loads, learning, picturing) = (seats.clone(), seats.clone(), seats);
        let peers = Peers::bind(
            peer_settings,
            catalog,
            clock,
            Hooks {
                loads: Box::new(move || loads.with(|desk| desk.loads())),
                learn: Box::new(move |running, entries, told| {
                    learning.with(|desk| desk.observe_peers(running, entries, told));
                }),
                group: Box::new(move |picture| {
                    picturing.with(|desk| desk.observe_group(picture, clock.now()));
                }),
            },
        );
        let peers = peers
            .await
            .map_err(|source| ProcessError::Listen { address: settings.peers, source })?;
        let _ = shared.peers.set(peers.clone());
        let source: StatusSource =
            Arc::new(move || status.lock().unwrap_or_else(PoisonError::into_inner).clone());
        let ops = OpsEndpoint::bind(settings.ops, metrics, source)
            .await
            .map_err(|source| ProcessError::Listen { address: settings.ops, source })?;
        let ready = bind(settings.ready).await?;
        tokio::task::spawn_local(edge::serve(listener, shared.clone()));
        tokio::task::spawn_local(super::ready::serve(ready, shared.clone()));
        tokio::task::spawn_local(shared.clone().install());
        tokio::task::spawn_local(shared.clone().watch_state());
        tracing::info!(
            event = events::GATEWAY_STARTED,
            name = %settings.name,
            zone = %settings.zone,
            %incarnation,
            %address,
            peers = %settings.peers,
            "open"
        );
        Ok(Self { shared, peers, address, _ops: ops })
    }

    /// The bound address for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Takes changed settings. Only the seeds can change in a running process.
    pub fn reload(&self, settings: &GatewaySettings) {
        self.peers.reseed(settings.seeds.clone());
        let seeds = settings.seeds.len();
        tracing::info!(event = events::GATEWAY_RELOADED, seeds, outcome = "taken", "reloaded");
    }

    /// Serves on while the balancer learns of the stop, then lets requests in progress finish.
    pub async fn stop(self) {
        let (shared, grace) = (&self.shared, self.shared.settings.grace);
        let begun = shared.clock.now();
        shared.stopping.set(Some(begun));
        let (requests, grace_ms) = (shared.requests.get(), grace.as_millis() as u64);
        tracing::info!(event = events::GATEWAY_STOPPING, requests, grace_ms, "stopping");
        shared.judge_ready();
        tokio::time::sleep(grace.mul_f64(STOP_CLOSE)).await;
        shared.closing.cancel();
        while shared.requests.get() > 0 && shared.stopped_for() < grace.mul_f64(STOP_END) {
            tokio::time::sleep(SEAT_TICK).await;
        }
        let requests = shared.requests.get();
        tracing::info!(event = events::GATEWAY_STOPPED, requests, "stopped");
    }
}

impl Shared {
    /// Counts a request in progress until the guard is dropped.
    pub(crate) fn busy(self: &Rc<Self>) -> Busy {
        self.requests.set(self.requests.get() + 1);
        Busy { shared: self.clone() }
    }

    /// Whether the process ends soon.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Whether a request of `route` is left to other entries, since this one stops before the end.
    pub(crate) fn takes_no_more(&self, route: &Route) -> bool {
        let late = self.settings.grace.mul_f64(STOP_STREAMS);
        route.kind.is_stream() && self.is_stopping() && self.stopped_for() > late
    }

    /// Age of the proof of freshness beyond which keys are not accepted.
    pub(crate) fn key_age(&self) -> Duration {
        self.settings.revoke.mul_f64(KEY_AGE_PART)
    }

    /// Whether a request has less patience than others of its route, so that it was refused before.
    pub(crate) fn is_back(&self, route: &Route, patience: Duration, part: f64) -> bool {
        let mut known = self.patience.borrow_mut();
        let most = known.entry(route.name.clone()).or_insert(patience);
        *most = (*most).max(patience);
        patience < most.mul_f64(part)
    }

    /// Whether new connections are wanted.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    fn stopped_for(&self) -> Duration {
        let since = self.stopping.get().unwrap_or_else(|| self.clock.now());
        self.clock.now().saturating_sub(since)
    }

    /// Has the desk follow the catalog.
    async fn install(self: Rc<Self>) {
        loop {
            if let Some(config) = self.catalog.config() {
                let desk = &self.seats;
                self.catalog.with_directory(|d| desk.with(|desk| desk.install(&config, d)));
            }
            self.catalog.changed().await;
        }
    }

    /// Judges readiness and keeps the status, as time passes.
    async fn watch_state(self: Rc<Self>) {
        loop {
            self.catalog.expire();
            self.judge_ready();
            self.pool.sweep();
            self.meters.opened(self.pool.take_opened());
            *self.status.lock().unwrap_or_else(PoisonError::into_inner) = self.status();
            tokio::time::sleep(STATE_INTERVAL).await;
        }
    }

    pub(crate) fn judge_ready(&self) {
        let reason = match () {
            () if self.is_stopping() => "stopping",
            () if self.catalog.config().is_none() => "no configuration",
            () if self.seats.with(|desk| desk.upstream_count()) == 0 => "no upstreams",
            () if self.peers.get().is_some_and(|p| p.is_cut_off()) => "zone cut off",
            () if !self.catalog.is_fresh(READY_AGE) => "configuration not proven fresh",
            () => "serving",
        };
        let ready = reason == "serving";
        if self.ready.replace(ready) != ready {
            tracing::info!(event = events::READY_CHANGED, ready, reason, "readiness changed");
        }
    }

    fn status(&self) -> Status {
        Status {
            name: self.settings.name.to_string(),
            role: "entry".to_owned(),
            zone: self.settings.zone.to_string(),
            generation: self.catalog.version(),
            document_age: self.catalog.age().map_or(0.0, |a| a.as_secs_f64()),
            ready: self.is_ready(),
            leaving: self.is_stopping(),
            calls: self.requests.get(),
            upstreams: self.seats.with(|desk| desk.upstream_count()) as u64,
            ..Status::default()
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.shared.requests.set(self.shared.requests.get().saturating_sub(1));
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address).await.map_err(|source| ProcessError::Listen { address, source })
}
