//! The running agent: its links, its load readings and its graceful stop.

use super::call::{failure, run_call};
use super::client::UpstreamClient;
use super::codes;
use super::constants::{CALLS_MAX, LEAVING_INTERVAL, STOP_LOOK};
use super::desk::KeyDesk;
use super::keyed::answer_keyed;
use super::leaving::{Leaving, Piece};
use super::links::{Stops, accept_links};
use super::load::follow_load;
use super::settings::AgentSettings;
use crate::base::code::Code;
use crate::base::error::ProcessError;
use crate::base::name::Name;
use crate::delivery::KeyTable;
use crate::drain::{LeaveConditions, Reason, Step};
use crate::membership::{Feed, JoinedProcess, LoadReport};
use crate::telemetry::{Metrics, OpsEndpoint, Status, StatusSource, events};
use crate::wire::server::{IncomingCall, OpenGuard};
use crate::wire::{Action, Identity};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Instant, SystemTime};
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

/// What the tasks of an agent share.
struct Shared {
    settings: AgentSettings,
    identity: Identity,
    feed: Feed,
    client: UpstreamClient,
    desk: Arc<KeyDesk>,
    leaving: Arc<Leaving>,
    stopping: AtomicBool,
    calls: AtomicUsize,
}

/// A running agent. Dropping it cuts its calls; [`Agent::stop`] lets them finish.
pub struct Agent {
    shared: Arc<Shared>,
    address: SocketAddr,
    ops: OpsEndpoint,
    work: TaskTracker,
    stops: Stops,
    _guard: DropGuard,
}

impl Agent {
    /// Serves links at the slot's address. `take` receives the upstream's load reports.
    ///
    /// # Errors
    /// An operators' address that cannot be bound, or an exporter that cannot be set up.
    pub async fn open(
        settings: AgentSettings,
        joined: JoinedProcess,
        take: impl Fn(LoadReport) + Send + 'static,
    ) -> Result<Self, ProcessError> {
        let metrics = Metrics::open().map_err(|reason| ProcessError::Metrics { reason })?;
        let JoinedProcess { identity, feed, clock, listener } = joined;
        let address = listener.local_addr().unwrap_or(settings.address);
        let client = UpstreamClient::new(settings.target);
        let ops_address = settings.process.ops;
        let keys =
            KeyTable::new(settings.process.name.clone(), identity.incarnation, settings.keys);
        let secrets = settings.process.secrets.clone();
        let shared = Arc::new(Shared {
            desk: Arc::new(KeyDesk::new(keys, clock, secrets)),
            identity: identity.clone(),
            feed: feed.clone(),
            client: client.clone(),
            leaving: Arc::new(Leaving::new(settings.drain, clock)),
            stopping: AtomicBool::new(false),
            calls: AtomicUsize::new(0),
            settings,
        });
        let ops = OpsEndpoint::bind(ops_address, metrics, shared.clone().status_source())
            .await
            .map_err(|source| ProcessError::Listen { address: ops_address, source })?;
        let stop = CancellationToken::new();
        let stops = Stops { accept: stop.child_token(), links: stop.clone() };
        let work = TaskTracker::new();
        let context = feed.link_context(identity, shared.settings.process.secrets.clone());
        let handle = call_handler(shared.clone(), work.clone());
        tokio::spawn(accept_links(listener, context, handle, stops.clone()));
        let load = follow_load(shared.settings.process.name.clone(), client, take);
        let stopped = stop.clone();
        let watched = watch_leaving(shared.clone());
        let followed = async move { tokio::join!(load, watched) };
        tokio::spawn(async move { stopped.run_until_cancelled(followed).await });
        shared.log_started(address, ops.address());
        Ok(Self { shared, address, ops, work, stops, _guard: stop.drop_guard() })
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
        // Entries that are refused open no new link, and the old ones last until all have heard.
        self.stops.accept.cancel();
        let since = Instant::now();
        let linger = self.shared.settings.drain.linger;
        loop {
            match self.shared.check_leaving() {
                Step::Overdue => break,
                Step::Drained if since.elapsed() >= linger && self.work.is_empty() => break,
                _ => tokio::time::sleep(STOP_LOOK).await,
            }
        }
        self.stops.links.cancel();
        tracing::info!(event = events::PROCESS_STOPPED, role = "agent", %name, "stopped");
    }
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
            let piece = shared.begin(&call.head.service);
            let keyed = call.head.key.is_some() || call.head.action != Action::Call;
            match piece {
                piece if keyed => {
                    answer_keyed(call, &shared.desk, &shared.client, &tasks, piece).await;
                }
                Err(code) => drop(call.replier.fail(failure(code)).await),
                Ok(piece) => {
                    let movable = shared.is_idempotent(&call.head.service);
                    run_call(call, &shared.client, piece, movable).await;
                }
            }
            shared.calls.fetch_sub(1, Ordering::SeqCst);
            drop(guard);
        });
    }
}

/// Follows the reasons for leaving, also while no call comes.
async fn watch_leaving(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(LEAVING_INTERVAL);
    loop {
        ticks.tick().await;
        // Before the first document nothing is known of a reason.
        if shared.feed.is_ready() {
            shared.check_leaving();
        }
    }
}

impl Shared {
    /// Takes a call to `service`, or says why it is not taken.
    fn begin(&self, service: &Name) -> Result<Piece, Code> {
        if let Some(code) = self.refusal(service) {
            return Err(code);
        }
        self.leaving.begin(self.reason())
    }

    /// Why the agent takes no new work, by its document and its own stop.
    fn reason(&self) -> Option<Reason> {
        let document = self.feed.document.load();
        let upstream = document.upstreams.get(&self.settings.process.name);
        let stopping = self.stopping.load(Ordering::SeqCst);
        LeaveConditions { stopping, upstream, host_leaving: false }.reason(SystemTime::now())
    }

    fn check_leaving(&self) -> Step {
        self.leaving.check(self.reason())
    }

    fn is_idempotent(&self, service: &Name) -> bool {
        self.feed.document.load().services.get(service).is_some_and(|s| s.idempotent)
    }

    /// Why a call to `service` is not taken, if it is not and the agent is not leaving.
    fn refusal(&self, service: &Name) -> Option<Code> {
        let document = self.feed.document.load();
        let Some(upstream) = document.upstreams.get(&self.settings.process.name) else {
            return Some(codes::SERVICE_FOREIGN);
        };
        if !self.feed.is_ready() {
            return Some(codes::AGENT_NOT_READY);
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
        let mut status = self.feed.status(&self.identity, &self.settings.process.zone);
        status.role = "agent".to_owned();
        status.ready = self.feed.is_ready() && self.reason().is_none();
        status.leaving = self.leaving.is_leaving();
        status.calls = u64::from(self.leaving.in_progress());
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
