//! The running agent: its links, its load readings and its graceful stop.

use super::call::{failure, run_call};
use super::client::UpstreamClient;
use super::codes;
use super::constants::CALLS_MAX;
use super::desk::KeyDesk;
use super::keyed::answer_keyed;
use super::links::accept_links;
use super::load::follow_load;
use super::settings::AgentSettings;
use crate::base::clock::Clock;
use crate::base::code::Code;
use crate::base::error::ProcessError;
use crate::base::name::Name;
use crate::delivery::KeyCore;
use crate::membership::{Feed, LoadReport};
use crate::telemetry::{Metrics, Ops, Status, StatusSource, events};
use crate::wire::server::{IncomingCall, OpenGuard};
use crate::wire::{Action, Identity};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::SystemTime;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

/// What the tasks of an agent share.
struct Shared {
    settings: AgentSettings,
    identity: Identity,
    feed: Feed,
    client: UpstreamClient,
    desk: Arc<KeyDesk>,
    stopping: AtomicBool,
    calls: AtomicUsize,
}

/// A running agent. Dropping it cuts its calls; [`Agent::stop`] lets them finish.
pub struct Agent {
    shared: Arc<Shared>,
    address: SocketAddr,
    ops: Ops,
    work: TaskTracker,
    stop: CancellationToken,
    _guard: DropGuard,
}

impl Agent {
    /// Binds the slot's address and serves links. `take` receives the upstream's load reports.
    ///
    /// # Errors
    /// An address that cannot be bound, or an exporter that cannot be set up.
    pub async fn open(
        settings: AgentSettings,
        identity: Identity,
        feed: Feed,
        take: impl Fn(LoadReport) + Send + 'static,
    ) -> Result<Self, ProcessError> {
        let metrics = Metrics::open().map_err(|reason| ProcessError::Metrics { reason })?;
        // The exclusive bind keeps two agents of one host from serving at the same time.
        let listener = bind(settings.address).await?;
        let address = listener.local_addr().unwrap_or(settings.address);
        let client = UpstreamClient::new(settings.target);
        let ops_address = settings.process.ops;
        let keys = KeyCore::new(settings.process.name.clone(), identity.incarnation, settings.keys);
        let secrets = settings.process.secrets.clone();
        let shared = Arc::new(Shared {
            desk: Arc::new(KeyDesk::new(keys, Clock::start(), secrets)),
            identity: identity.clone(),
            feed: feed.clone(),
            client: client.clone(),
            stopping: AtomicBool::new(false),
            calls: AtomicUsize::new(0),
            settings,
        });
        let ops = Ops::bind(ops_address, metrics, shared.clone().status_source())
            .await
            .map_err(|source| ProcessError::Listen { address: ops_address, source })?;
        let stop = CancellationToken::new();
        let work = TaskTracker::new();
        let context = feed.link_context(identity, shared.settings.process.secrets.clone());
        let handle = call_handler(shared.clone(), work.clone());
        tokio::spawn(accept_links(listener, context, handle, stop.clone()));
        let load = follow_load(shared.settings.process.name.clone(), client, take);
        let stopped = stop.clone();
        tokio::spawn(async move { stopped.run_until_cancelled(load).await });
        shared.log_started(address, ops.address());
        Ok(Self { shared, address, ops, work, _guard: stop.clone().drop_guard(), stop })
    }

    /// The bound address of the slot.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The bound address of the operators' endpoint.
    pub fn ops_address(&self) -> SocketAddr {
        self.ops.address()
    }

    /// Refuses new work, lets the calls in progress finish, then closes everything.
    pub async fn stop(self) {
        let name = self.shared.identity.name.clone();
        tracing::info!(event = events::PROCESS_STOPPING, role = "agent", %name, "stopping");
        self.shared.stopping.store(true, Ordering::SeqCst);
        self.work.close();
        self.work.wait().await;
        self.stop.cancel();
        tracing::info!(event = events::PROCESS_STOPPED, role = "agent", %name, "stopped");
    }
}

/// Binds a listener.
async fn bind(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address).await.map_err(|source| ProcessError::Listen { address, source })
}

/// Starts each call as a task of its own.
fn call_handler(
    shared: Arc<Shared>,
    work: TaskTracker,
) -> impl Fn(IncomingCall, OpenGuard) + Clone + Send + Sync + 'static {
    move |call, guard| {
        let shared = shared.clone();
        let tasks = work.clone();
        work.spawn(async move {
            shared.calls.fetch_add(1, Ordering::SeqCst);
            let refusal = shared.refusal(&call.head.service);
            let keyed = call.head.key.is_some() || call.head.action != Action::Call;
            match refusal {
                _ if keyed => {
                    answer_keyed(call, &shared.desk, &shared.client, &tasks, refusal).await;
                }
                Some(code) => drop(call.replier.fail(failure(code)).await),
                None => run_call(call, &shared.client).await,
            }
            shared.calls.fetch_sub(1, Ordering::SeqCst);
            drop(guard);
        });
    }
}

impl Shared {
    /// Why a call to `service` is not taken, if it is not.
    fn refusal(&self, service: &Name) -> Option<Code> {
        let document = self.feed.document.load();
        let Some(upstream) = document.upstreams.get(&self.settings.process.name) else {
            return Some(codes::SERVICE_FOREIGN);
        };
        if !self.feed.is_ready() {
            return Some(codes::AGENT_NOT_READY);
        }
        if self.stopping.load(Ordering::SeqCst) || !upstream.takes_work(SystemTime::now()) {
            return Some(codes::AGENT_LEAVING);
        }
        if !upstream.services.contains(service) {
            return Some(codes::SERVICE_FOREIGN);
        }
        (self.calls.load(Ordering::Relaxed) > CALLS_MAX).then_some(codes::AGENT_FULL)
    }

    fn status_source(self: Arc<Self>) -> StatusSource {
        Arc::new(move || self.status())
    }

    fn status(&self) -> Status {
        let document = self.feed.document.load();
        let own = document.upstreams.get(&self.settings.process.name);
        let open = own.is_some_and(|u| u.takes_work(SystemTime::now()));
        let stopping = self.stopping.load(Ordering::SeqCst);
        let mut status = self.feed.status(&self.identity, &self.settings.process.zone);
        status.role = "agent".to_owned();
        status.ready = self.feed.is_ready() && open && !stopping;
        status.leaving = stopping || own.is_some() && !open;
        status.calls = self.calls.load(Ordering::Relaxed) as u64;
        status
    }

    fn log_started(&self, address: SocketAddr, ops: SocketAddr) {
        tracing::info!(
            event = events::PROCESS_STARTED,
            role = "agent",
            name = %self.identity.name,
            incarnation = %self.identity.incarnation,
            %address,
            %ops,
            "open"
        );
    }
}
