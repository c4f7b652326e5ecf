//! The running entry: shared state, readiness and graceful stop.

use super::bounds::MemoryBounds;
use super::buffer::BufferBudget;
use super::clients::Clients;
use super::constants::{
    KEY_AGE_FRACTION, READY_AGE_MAX, SEAT_INTERVAL, STATE_INTERVAL, STOP_CLOSE_FRACTION,
    STOP_STRICT_AFTER, UNFINISHED_LOGGED_MAX,
};
use super::edge;
use super::envelope::Envelope;
use super::events;
use super::first_ids::FirstIds;
use super::meters::Meters;
use super::peer_hooks::peer_hooks;
use super::pool::Pool;
use super::progress::Progress;
use super::seats::Seats;
use super::settings::GatewaySettings;
use crate::balance::Balancer;
use crate::base::clock::Clock;
use crate::base::error::ProcessError;
use crate::base::name::{Incarnation, Name};
use crate::base::supervise::restart_on_panic;
use crate::catalog::{Catalog, Route};
use crate::limits::CircuitSettings;
use crate::peers::{PeerSettings, Peers};
use crate::platform::Store;
use crate::quarantine::{Quarantine, RequestQuarantine};
use crate::telemetry::{EvacuationStatus, Metrics, OpsEndpoint, Status, StatusSource};
use indexmap::IndexMap;
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Circuit breaker settings for upstreams. The waits are short, since each entry sees few
/// responses. A replica that fails half of its requests serves the other half, for which the others
/// may have no room, so that only one that fails nearly all is left.
const CIRCUIT_SETTINGS: CircuitSettings = CircuitSettings {
    bad_ratio: 0.85,
    bad_streak: 6,
    first_wait: Duration::from_millis(1000),
    longest_wait: Duration::from_millis(5000),
};

/// State shared by all tasks of the process.
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    /// Identifies this run of the process.
    pub(crate) incarnation: Incarnation,
    /// Configuration and list of upstreams.
    pub(crate) catalog: Rc<Catalog>,
    /// The balancer and the requests that wait for its decisions.
    pub(crate) seats: Rc<Seats>,
    pub(crate) pool: Pool,
    /// Parts of prompts that crash upstreams.
    pub(crate) quarantine: Rc<RefCell<Quarantine>>,
    /// Requests that crash upstreams as a whole.
    pub(crate) fatal: Rc<RefCell<RequestQuarantine>>,
    /// Ids that runs of the services begin with.
    pub(crate) first_ids: Rc<RefCell<FirstIds>>,
    pub(crate) meters: Meters,
    /// Closes client connections that are idle, or once their request is answered.
    pub(crate) closing: CancellationToken,
    /// Ends the accepting of client connections, and closes the last of them as `closing` does.
    pub(crate) accept_end: CancellationToken,
    settings: GatewaySettings,
    progress: RefCell<Progress>,
    /// Open client connections: each holds a clone besides this one.
    connections: Rc<()>,
    /// Bodies that are buffered whole.
    pub(crate) buffers: BufferBudget,
    /// What is held for the clients.
    pub(crate) clients: Rc<Clients>,
    ready: Cell<bool>,
    status: Arc<Mutex<Status>>,
    /// Load exchange with the other entries; set once it runs.
    peers: OnceCell<Rc<Peers>>,
    /// Longest client timeout seen on each route.
    client_timeouts: RefCell<IndexMap<Name, Duration>>,
}

/// Counts a request as in progress until dropped.
pub(crate) struct InFlight {
    shared: Rc<Shared>,
    ticket: u64,
}

/// A running entry.
pub struct Gateway {
    pub(super) shared: Rc<Shared>,
    peers: Rc<Peers>,
    address: SocketAddr,
    _ops: OpsEndpoint,
}

impl Gateway {
    /// Binds all addresses and starts to serve. Must run on a `LocalSet`.
    ///
    /// # Errors
    /// An address cannot be bound, or the metrics exporter cannot be set up.
    pub async fn open(settings: GatewaySettings) -> Result<Self, ProcessError> {
        let clock = Clock::start();
        let incarnation = Incarnation::generate();
        let metrics = Metrics::open().map_err(|reason| ProcessError::Metrics { reason })?;
        let listener = bind(settings.address).await?;
        let address = listener.local_addr().unwrap_or(settings.address);
        let catalog = {
            let reads_evacuations = !settings.evacuate.is_zero();
            Catalog::spawn(Store::new(settings.store), clock, settings.drain, reads_evacuations)
        };
        let mut balancer = Balancer::new(
            settings.zone.clone(),
            settings.budget,
            CIRCUIT_SETTINGS,
            settings.warmup,
            clock.now(),
        );
        balancer.by_load = settings.by_load;
        balancer.coordinate_retries(settings.coordinated);
        let seats = Seats::spawn(balancer, clock);
        let quarantine = Rc::new(RefCell::new(Quarantine::default()));
        let fatal: Rc<RefCell<RequestQuarantine>> = Rc::default();
        let meters = Meters::new(&metrics);
        let status = Arc::new(Mutex::new(Status::default()));
        let bounds = MemoryBounds::new(settings.memory);
        let shared = Rc::new(Shared {
            clock,
            incarnation,
            catalog: catalog.clone(),
            seats: seats.clone(),
            pool: Pool::new(clock, bounds.sockets),
            quarantine: quarantine.clone(),
            fatal: fatal.clone(),
            first_ids: Rc::default(),
            meters,
            closing: CancellationToken::new(),
            accept_end: CancellationToken::new(),
            progress: RefCell::new(Progress::new(settings.grace)),
            connections: Rc::default(),
            buffers: BufferBudget::new(bounds.bodies),
            clients: Clients::new(clock, bounds),
            ready: Cell::new(false),
            status: status.clone(),
            peers: OnceCell::new(),
            client_timeouts: RefCell::default(),
            settings: settings.clone(),
        });
        let peer_settings = PeerSettings {
            address: settings.peers,
            seeds: settings.seeds.clone(),
            zone: settings.zone.clone(),
            incarnation,
        };
        let hooks = peer_hooks(seats, quarantine, fatal, clock);
        let peers = Peers::bind(peer_settings, catalog, clock, hooks)
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
        let (own, task) = (shared.clone(), "catalog changes");
        tokio::task::spawn_local(restart_on_panic(task, move || own.clone().follow_catalog()));
        let (own, task) = (shared.clone(), "process state");
        tokio::task::spawn_local(restart_on_panic(task, move || own.clone().refresh_state()));
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

    /// Whether the readiness endpoint reports the entry as ready.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Applies changed settings. Only the seeds can change in a running process.
    pub fn reload(&self, settings: &GatewaySettings) {
        self.peers.set_seeds(settings.seeds.clone());
        let seeds = settings.seeds.len();
        tracing::info!(event = events::GATEWAY_RELOADED, seeds, outcome = "taken", "reloaded");
    }

    /// Keeps serving while the load balancer notices the stop, then waits for requests in progress
    /// to finish, for at most the grace period.
    pub async fn stop(self) {
        let (shared, grace) = (&self.shared, self.shared.settings.grace);
        shared.progress.borrow_mut().begin_stop(shared.clock.now());
        let (requests, grace_ms) = (shared.requests(), grace.as_millis() as u64);
        tracing::info!(event = events::GATEWAY_STOPPING, requests, grace_ms, "stopping");
        shared.update_readiness();
        let accepting = grace.mul_f64(STOP_CLOSE_FRACTION);
        // The next request of an idle connection may be one that has to be refused; its client would
        // rather begin at another entry.
        let idling = accepting.min(STOP_STRICT_AFTER);
        tokio::time::sleep(idling).await;
        shared.closing.cancel();
        tokio::time::sleep(accepting - idling).await;
        shared.accept_end.cancel();
        // A connection ends once its last response is written, which is later than the end of the
        // request.
        let is_busy = || shared.requests() > 0 || shared.connections() > 0;
        while is_busy() && !shared.stop_time_left().is_zero() {
            tokio::time::sleep(SEAT_INTERVAL).await;
        }
        shared.log_unfinished();
        let requests = shared.requests();
        tracing::info!(event = events::GATEWAY_STOPPED, requests, "stopped");
    }
}

impl Shared {
    /// Counts request `id` of `route` as in progress until the guard is dropped.
    pub(crate) fn track_request(self: &Rc<Self>, id: &Name, route: &Route) -> InFlight {
        let ticket = self.progress.borrow_mut().start(id, &route.name, self.clock.now());
        InFlight { shared: self.clone(), ticket }
    }

    /// Counts a client connection as open until the guard is dropped.
    pub(crate) fn track_connection(&self) -> Rc<()> {
        self.connections.clone()
    }

    fn connections(&self) -> usize {
        Rc::strong_count(&self.connections) - 1
    }

    /// Tells the other entries what is new on parts of prompts.
    pub(crate) async fn announce_parts(&self) {
        if let Some(peers) = self.peers.get() {
            peers.announce_parts().await;
        }
    }

    /// Number of requests in progress.
    fn requests(&self) -> u64 {
        self.progress.borrow().count() as u64
    }

    /// Whether the graceful stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.progress.borrow().is_stopping()
    }

    /// Whether a request to `service` that ends within `time_limit` ends before the process exits;
    /// always true unless it is stopping. Where the client limits the tokens of the answer, the
    /// engine's figures may bound it further.
    pub(crate) fn can_finish(
        &self,
        envelope: &Envelope,
        route: &Route,
        service: Option<&Name>,
        time_limit: Duration,
    ) -> bool {
        if !self.is_stopping() {
            return true;
        }
        let now = self.clock.now();
        let answer = service.zip(envelope.answer_tokens).and_then(|(service, tokens)| {
            let prompt = envelope.prompt_tokens;
            self.seats.with_balancer(|b| b.longest_time(service, prompt, tokens, now))
        });
        let progress = self.progress.borrow();
        let longest = progress.longest_time(time_limit, answer, now);
        let finish = progress.can_finish(longest, now);
        if let Err(shortfall) = finish {
            tracing::info!(
                event = events::STOP_REFUSAL,
                request = %envelope.id,
                route = %route.name,
                longest_ms = shortfall.longest.as_millis() as u64,
                limit_ms = time_limit.as_millis() as u64,
                left_ms = shortfall.left.as_millis() as u64,
                "refused while stopping"
            );
        }
        finish.is_ok()
    }

    /// Logs the requests that the exit of the process cuts.
    fn log_unfinished(&self) {
        let (progress, now) = (self.progress.borrow(), self.clock.now());
        for started in progress.unfinished().take(UNFINISHED_LOGGED_MAX) {
            tracing::warn!(
                event = events::REQUEST_UNFINISHED,
                request = %started.id,
                route = %started.route,
                upstream = started.upstream.as_ref().map(Name::as_str),
                age_ms = now.saturating_sub(started.at).as_millis() as u64,
                stopping_ms = progress.stopping_for(now).as_millis() as u64,
                "request cut by the exit"
            );
        }
    }

    /// Time until a stopping process exits.
    fn stop_time_left(&self) -> Duration {
        self.progress.borrow().time_left(self.clock.now()).unwrap_or_default()
    }

    /// Whether requests are admitted by the load that agents report.
    pub(crate) fn admits_by_load(&self) -> bool {
        self.settings.by_load
    }

    /// Time within which an event of a stream must be passed on.
    pub(crate) fn event_delay(&self) -> Duration {
        self.settings.event_delay
    }

    /// Age of the freshness proof beyond which keys are not accepted.
    pub(crate) fn key_age_max(&self) -> Duration {
        self.settings.revoke.mul_f64(KEY_AGE_FRACTION)
    }

    /// Whether the client timeout is shorter than `fraction` of the longest one seen on the route.
    /// Clients send the time that they still wait, so a short one means that the request was
    /// refused before.
    pub(crate) fn is_returning(
        &self,
        route: &Route,
        client_timeout: Duration,
        fraction: f64,
    ) -> bool {
        let mut timeouts = self.client_timeouts.borrow_mut();
        let longest = timeouts.entry(route.name.clone()).or_insert(client_timeout);
        *longest = (*longest).max(client_timeout);
        client_timeout < longest.mul_f64(fraction)
    }

    /// Time since the client of a returning request first sent it, by the longest timeout seen on
    /// the route.
    pub(crate) fn time_since_first(&self, route: &Route, client_timeout: Duration) -> Duration {
        let timeouts = self.client_timeouts.borrow();
        let longest = timeouts.get(&route.name).copied().unwrap_or_default();
        longest.saturating_sub(client_timeout)
    }

    /// Whether the entry accepts new connections from the load balancer.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Updates the balancer whenever the catalog changes.
    async fn follow_catalog(self: Rc<Self>) {
        loop {
            // Without the evacuations no upstream is used, since a process that starts may know the
            // rest from a peer before them.
            let zones = self.catalog.evacuated_zones();
            if let Some((config, zones)) = self.catalog.config().zip(zones) {
                let (seats, now) = (&self.seats, self.clock.now());
                self.catalog
                    .with_directory(|d| seats.with_balancer(|b| b.install(&config, d, now)));
                seats.with_balancer(|b| b.observe_evacuations(&zones, now));
                self.first_ids.borrow_mut().retain(|s| config.services.contains_key(s));
            }
            self.catalog.changed().await;
        }
    }

    /// Updates readiness, connection pool, metrics and status at a fixed interval.
    async fn refresh_state(self: Rc<Self>) {
        loop {
            self.catalog.expire();
            self.quarantine.borrow_mut().expire(self.clock.now());
            self.fatal.borrow_mut().expire(self.clock.now());
            self.update_readiness();
            self.pool.close_expired();
            self.clients.review();
            self.meters.record_clients(self.clients.held() as u64, self.clients.take_cuts());
            self.meters.count_connections(self.pool.take_opened());
            self.meters.record_lost_seats(self.seats.lost_seats());
            let now = self.clock.now();
            let cold = self.seats.with_balancer(|balancer| balancer.cold_upstreams(now));
            self.meters.record_cold_upstreams(cold as u64);
            *self.status.lock().unwrap_or_else(PoisonError::into_inner) = self.status();
            tokio::time::sleep(STATE_INTERVAL).await;
        }
    }

    pub(crate) fn update_readiness(&self) {
        let reason = match () {
            () if self.is_stopping() => "stopping",
            () if self.catalog.config().is_none() => "no configuration",
            () if self.catalog.evacuated_zones().is_none() => "evacuations unknown",
            () if self.seats.with_balancer(|balancer| balancer.upstream_count()) == 0 => {
                "no upstreams"
            }
            () if self.peers.get().is_some_and(|p| p.is_cut_off()) => "zone cut off",
            () if !self.catalog.is_fresh(READY_AGE_MAX) => "configuration not proven fresh",
            () => "serving",
        };
        let ready = reason == "serving";
        if self.ready.replace(ready) != ready {
            tracing::info!(event = events::READY_CHANGED, ready, reason, "readiness changed");
        }
    }

    fn status(&self) -> Status {
        let evacuations = self.seats.with_balancer(|balancer| balancer.evacuations());
        let evacuation =
            |(zone, calls): (Name, u64)| EvacuationStatus { zone: zone.to_string(), calls };
        Status {
            name: self.settings.name.to_string(),
            role: "entry".to_owned(),
            zone: self.settings.zone.to_string(),
            generation: self.catalog.version(),
            document_age: self.catalog.config_age().map_or(0.0, |a| a.as_secs_f64()),
            ready: self.is_ready(),
            leaving: self.is_stopping(),
            calls: self.requests(),
            upstreams: self.seats.with_balancer(|balancer| balancer.upstream_count()) as u64,
            evacuations: evacuations.into_iter().map(evacuation).collect(),
            ..Status::default()
        }
    }
}

impl InFlight {
    /// Records that the request is sent to `upstream`.
    pub(crate) fn record_send(&self, upstream: &Name) {
        self.shared.progress.borrow_mut().record_send(self.ticket, upstream);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.progress.borrow_mut().end(self.ticket);
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address).await.map_err(|source| ProcessError::Listen { address, source })
}
