//! The running entry: its listener, its refresh and its graceful stop.

use super::constants::REFRESH_INTERVAL;
use super::gate::Gate;
use super::links::Links;
use super::meters::Meters;
use super::route::Routes;
use super::serve::answer;
use super::settings::EntrySettings;
use crate::base::clock::Clock;
use crate::base::error::ProcessError;
use crate::base::http::serve;
use crate::limits::RetryBudget;
use crate::membership::{Feed, JoinedProcess};
use crate::routing::Router;
use crate::telemetry::{Metrics, OpsEndpoint, Status, StatusSource, events};
use crate::wire::Identity;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

/// Retry budgets that the requests of an entry share.
pub(crate) struct Retries {
    budget: Mutex<RetryBudget>,
}

impl Retries {
    pub(crate) fn lock(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the requests of an entry share.
pub(crate) struct Shared {
    pub(crate) feed: Feed,
    pub(crate) clock: Clock,
    pub(crate) gate: Arc<Gate>,
    pub(crate) routes: Routes,
    pub(crate) links: Links,
    pub(crate) retries: Retries,
    pub(crate) meters: Meters,
    /// Streamed replies in progress.
    pub(crate) work: TaskTracker,
    pub(crate) settings: EntrySettings,
    identity: Identity,
    stopping: AtomicBool,
}

/// A running entry. Dropping it cuts its requests; [`Entry::stop`] lets them finish.
pub struct Entry {
    shared: Arc<Shared>,
    address: SocketAddr,
    ops: OpsEndpoint,
    server: JoinHandle<()>,
    stop: CancellationToken,
    _refresh: DropGuard,
}

impl Entry {
    /// Serves callers at the entry's address.
    ///
    /// # Errors
    /// An operators' address that cannot be bound, or an exporter that cannot be set up.
    pub async fn open(
        settings: EntrySettings,
        joined: JoinedProcess,
    ) -> Result<Self, ProcessError> {
        let metrics = Metrics::open().map_err(|reason| ProcessError::Metrics { reason })?;
        let JoinedProcess { identity, feed, clock, listener } = joined;
        let ops_address = settings.process.ops;
        let address = listener.local_addr().unwrap_or(settings.address);
        let shared = Arc::new(Shared::new(settings, identity, feed, clock, &metrics));
        let ops = OpsEndpoint::bind(ops_address, metrics, shared.clone().status_source())
            .await
            .map_err(|source| ProcessError::Listen { address: ops_address, source })?;
        let stop = CancellationToken::new();
        let (handler, stopped) = (shared.clone(), stop.clone());
        let handler = move |request| answer(handler.clone(), request);
        let server = tokio::spawn(serve(listener, handler, stopped));
        let refreshed = CancellationToken::new();
        let refresh = refresh(shared.clone());
        let ended = refreshed.clone();
        tokio::spawn(async move { ended.run_until_cancelled(refresh).await });
        shared.log_started(address, ops.address());
        Ok(Self { shared, address, ops, server, stop, _refresh: refreshed.drop_guard() })
    }

    /// The bound address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The bound address of the operators' endpoint.
    pub fn ops_address(&self) -> SocketAddr {
        self.ops.address()
    }

    /// Says that it is not ready, lets the requests in progress finish, then closes everything.
    pub async fn stop(self) {
        let name = self.shared.identity.name.clone();
        tracing::info!(event = events::PROCESS_STOPPING, role = "entry", %name, "stopping");
        self.shared.stopping.store(true, Ordering::SeqCst);
        // The balancer goes on sending until it has heard that this entry is not ready.
        tokio::time::sleep(self.shared.settings.drain.linger).await;
        self.stop.cancel();
        let _ = self.server.await;
        self.shared.work.close();
        self.shared.work.wait().await;
        tracing::info!(event = events::PROCESS_STOPPED, role = "entry", %name, "stopped");
    }
}

/// Follows the document and the view until dropped.
async fn refresh(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(REFRESH_INTERVAL);
    let mut changed = shared.feed.changed.clone();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Ok(()) = changed.changed() => {}
        }
        shared.routes.refresh();
        shared.gate.advance();
        let document = shared.feed.document.load();
        shared.links.retain(|a| document.upstreams.values().any(|u| u.agent == *a));
        shared.retries.lock().retain(|workspace| document.workspaces.contains_key(workspace));
    }
}

impl Shared {
    fn new(
        settings: EntrySettings,
        identity: Identity,
        feed: Feed,
        clock: Clock,
        metrics: &Metrics,
    ) -> Self {
        let context = feed.link_context(identity.clone(), settings.process.secrets.clone());
        let router = Router::new(settings.routing);
        let zone = settings.process.zone.clone();
        Self {
            gate: Arc::new(Gate::new(settings.capacity, clock)),
            routes: Routes::new(router, feed.clone(), zone, clock),
            links: Links::new(context),
            retries: Retries { budget: Mutex::default() },
            meters: Meters::new(metrics),
            work: TaskTracker::new(),
            stopping: AtomicBool::new(false),
            feed,
            clock,
            settings,
            identity,
        }
    }

    /// Whether there is a fleet document to serve by.
    pub(crate) fn is_ready(&self) -> bool {
        self.feed.is_ready() && self.feed.document.load().generation > 0
    }

    fn status_source(self: Arc<Self>) -> StatusSource {
        Arc::new(move || self.status())
    }

    fn status(&self) -> Status {
        let stopping = self.stopping.load(Ordering::SeqCst);
        let mut status = self.feed.status(&self.identity, &self.settings.process.zone);
        status.role = "entry".to_owned();
        status.ready = self.is_ready() && !stopping;
        status.leaving = stopping;
        status.calls = u64::from(self.gate.running());
        status
    }

    fn log_started(&self, address: SocketAddr, ops: SocketAddr) {
        tracing::info!(
            event = events::PROCESS_STARTED,
            role = "entry",
            name = %self.identity.name,
            incarnation = %self.identity.incarnation,
            %address,
            %ops,
            "open"
        );
    }
}
