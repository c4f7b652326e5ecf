//! The running entry process: listener, periodic refresh and graceful stop.

use super::constants::REFRESH_INTERVAL;
use super::gate::Gate;
use super::links::Links;
use super::meters::Meters;
use super::route::EntryRouter;
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

/// Retry budgets of the workspaces, shared by all requests of an entry.
pub(crate) struct RetryBudgets {
    budget: Mutex<RetryBudget>,
}

impl RetryBudgets {
    pub(crate) fn lock(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// State that all requests of an entry share.
pub(crate) struct Shared {
    pub(crate) feed: Feed,
    pub(crate) clock: Clock,
    pub(crate) gate: Arc<Gate>,
    pub(crate) router: EntryRouter,
    pub(crate) links: Links,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) meters: Meters,
    /// Streamed replies in progress.
    pub(crate) streams: TaskTracker,
    pub(crate) settings: EntrySettings,
    identity: Identity,
    stopping: AtomicBool,
}

/// A running entry. [`Entry::stop`] lets its requests finish.
pub struct Entry {
    shared: Arc<Shared>,
    address: SocketAddr,
    ops: OpsEndpoint,
    server: JoinHandle<()>,
    stop: CancellationToken,
    _refresh_guard: DropGuard,
}

impl Entry {
    /// Starts to serve callers on the listener of `joined`.
    ///
    /// # Errors
    /// The operators' address cannot be bound, or the metrics exporter cannot be set up.
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
        let refresh_stop = CancellationToken::new();
        let refresh = refresh(shared.clone());
        let refresh_stopped = refresh_stop.clone();
        tokio::spawn(async move { refresh_stopped.run_until_cancelled(refresh).await });
        shared.log_started(address, ops.address());
        Ok(Self { shared, address, ops, server, stop, _refresh_guard: refresh_stop.drop_guard() })
    }

    /// Address for callers, with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of the operators' endpoint, with the port that was bound.
    pub fn ops_address(&self) -> SocketAddr {
        self.ops.address()
    }

    /// Reports the entry as not ready, keeps serving for the linger time, then stops accepting
    /// requests and waits for those in progress.
    pub async fn stop(self) {
        let name = self.shared.identity.name.clone();
        tracing::info!(event = events::PROCESS_STOPPING, role = "entry", %name, "stopping");
        self.shared.stopping.store(true, Ordering::SeqCst);
        // The load balancer keeps sending requests until it notices that this entry is not ready.
        tokio::time::sleep(self.shared.settings.drain.linger).await;
        self.stop.cancel();
        let _ = self.server.await;
        self.shared.streams.close();
        self.shared.streams.wait().await;
        tracing::info!(event = events::PROCESS_STOPPED, role = "entry", %name, "stopped");
    }
}

/// Applies changes of the document and the view, and runs the periodic checks, until dropped.
async fn refresh(shared: Arc<Shared>) {
    let mut ticker = tokio::time::interval(REFRESH_INTERVAL);
    let mut changed = shared.feed.changed.clone();
    loop {
        tokio::select! {
            _ = ticker.tick() => {}
            Ok(()) = changed.changed() => {}
        }
        shared.router.refresh();
        shared.gate.advance();
        let document = shared.feed.document.load();
        shared.links.retain(|a| document.upstreams.values().any(|u| u.agent == *a));
        shared.retry_budgets.lock().retain(|workspace| document.workspaces.contains_key(workspace));
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
            router: EntryRouter::new(router, feed.clone(), zone, clock),
            links: Links::new(context),
            retry_budgets: RetryBudgets { budget: Mutex::default() },
            meters: Meters::new(metrics),
            streams: TaskTracker::new(),
            stopping: AtomicBool::new(false),
            feed,
            clock,
            settings,
            identity,
        }
    }

    /// Whether the entry has a fleet document and the feed reports it as ready.
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
