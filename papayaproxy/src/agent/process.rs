//! The running agent: its links, its load reports and its graceful stop.

use super::call::{failure, run_call};
use super::client::UpstreamClient;
use super::codes;
use super::constants::{CALLS_MAX, DRAIN_INTERVAL, STOP_INTERVAL};
use super::desk::KeyRegistry;
use super::keyed::answer_keyed;
use super::leaving::{AgentDrain, WorkGuard};
use super::links::{StopTokens, accept_links};
use super::load::poll_load;
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

/// State shared by the tasks of an agent.
struct Shared {
    settings: AgentSettings,
    identity: Identity,
    feed: Feed,
    client: UpstreamClient,
    keys: Arc<KeyRegistry>,
    drain: Arc<AgentDrain>,
    stopping: AtomicBool,
    calls: AtomicUsize,
}

/// A running agent. Dropping it closes its links and cancels their calls; [`Agent::stop`] lets them finish.
pub struct Agent {
    shared: Arc<Shared>,
    address: SocketAddr,
    ops: OpsEndpoint,
    work: TaskTracker,
    stops: StopTokens,
    _guard: DropGuard,
}

impl Agent {
    /// Starts an agent that serves links on the listener of `joined`. `on_report` receives the
    /// upstream's load reports.
    ///
    /// # Errors
    /// `Listen` if the operators' address cannot be bound, `Metrics` if the exporter cannot be set up.
    pub async fn open(
        settings: AgentSettings,
        joined: JoinedProcess,
        on_report: impl Fn(LoadReport) + Send + 'static,
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
            keys: Arc::new(KeyRegistry::new(keys, clock, secrets)),
            identity: identity.clone(),
            feed: feed.clone(),
            client: client.clone(),
            drain: Arc::new(AgentDrain::new(settings.drain, clock)),
            stopping: AtomicBool::new(false),
            calls: AtomicUsize::new(0),
            settings,
        });
        let ops = OpsEndpoint::bind(ops_address, metrics, shared.clone().status_source())
            .await
            .map_err(|source| ProcessError::Listen { address: ops_address, source })?;
        let stop = CancellationToken::new();
        let stops = StopTokens { accept: stop.child_token(), links: stop.clone() };
        let work = TaskTracker::new();
        let context = feed.link_context(identity, shared.settings.process.secrets.clone());
        let handle = call_handler(shared.clone(), work.clone());
        tokio::spawn(accept_links(listener, context, handle, stops.clone()));
        let load = poll_load(shared.settings.process.name.clone(), client, on_report);
        let stop_token = stop.clone();
        let drain = watch_drain(shared.clone());
        let background = async move { tokio::join!(load, drain) };
        tokio::spawn(async move { stop_token.run_until_cancelled(background).await });
        shared.log_started(address, ops.address());
        Ok(Self { shared, address, ops, work, stops, _guard: stop.drop_guard() })
    }

    /// Bound address for links.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bound address of the operators' endpoint.
    pub fn ops_address(&self) -> SocketAddr {
        self.ops.address()
    }

    /// Refuses new work, waits for the calls in progress up to the stop limit, then closes all links.
    pub async fn stop(self) {
        let name = self.shared.identity.name.clone();
        tracing::info!(event = events::PROCESS_STOPPING, role = "agent", %name, "stopping");
        self.shared.stopping.store(true, Ordering::SeqCst);
        // No new links are accepted. Open links stay up for the linger time, so that all entries
        // learn of the stop before they close.
        self.stops.accept.cancel();
        let since = Instant::now();
        let linger = self.shared.settings.drain.linger;
        loop {
            match self.shared.next_step() {
                Step::Overdue => break,
                Step::Drained if since.elapsed() >= linger && self.work.is_empty() => break,
                _ => tokio::time::sleep(STOP_INTERVAL).await,
            }
        }
        self.stops.links.cancel();
        tracing::info!(event = events::PROCESS_STOPPED, role = "agent", %name, "stopped");
    }
}

/// Returns a handler that runs each call in a task of its own.
fn call_handler(
    shared: Arc<Shared>,
    work: TaskTracker,
) -> impl Fn(IncomingCall, OpenGuard) + Clone + Send + Sync + 'static {
    move |call, guard| {
        let shared = shared.clone();
        let tasks = work.clone();
        work.spawn(async move {
            shared.calls.fetch_add(1, Ordering::SeqCst);
            let admission = shared.begin(&call.head.service);
            let keyed = call.head.key.is_some() || call.head.action != Action::Call;
            match admission {
                admission if keyed => {
                    answer_keyed(call, &shared.keys, &shared.client, &tasks, admission).await;
                }
                Err(code) => drop(call.replier.fail(failure(code)).await),
                Ok(guard) => {
                    let may_move = shared.is_idempotent(&call.head.service);
                    run_call(call, &shared.client, guard, may_move).await;
                }
            }
            shared.calls.fetch_sub(1, Ordering::SeqCst);
            drop(guard);
        });
    }
}

/// Applies the reasons for draining at intervals, so that they take effect without new calls.
async fn watch_drain(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(DRAIN_INTERVAL);
    loop {
        ticks.tick().await;
        // Before the first fleet document the reasons are unknown.
        if shared.feed.is_ready() {
            shared.next_step();
        }
    }
}

impl Shared {
    /// Admits a call to `service`, or returns the code that refuses it.
    fn begin(&self, service: &Name) -> Result<WorkGuard, Code> {
        if let Some(code) = self.refusal(service) {
            return Err(code);
        }
        self.drain.begin(self.drain_reason())
    }

    /// Why new work is refused because of the fleet document or a stop signal; `None` if it is not.
    fn drain_reason(&self) -> Option<Reason> {
        let document = self.feed.document.load();
        let upstream = document.upstreams.get(&self.settings.process.name);
        let stopping = self.stopping.load(Ordering::SeqCst);
        LeaveConditions { stopping, upstream, host_leaving: false }.reason(SystemTime::now())
    }

    fn next_step(&self) -> Step {
        self.drain.next_step(self.drain_reason())
    }

    fn is_idempotent(&self, service: &Name) -> bool {
        self.feed.document.load().services.get(service).is_some_and(|s| s.idempotent)
    }

    /// Why a call to `service` is refused for reasons other than draining; `None` if it is not.
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
        status.ready = self.feed.is_ready() && self.drain_reason().is_none();
        status.leaving = self.drain.is_leaving();
        status.calls = u64::from(self.drain.in_progress());
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
