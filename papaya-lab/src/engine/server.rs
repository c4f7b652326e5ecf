//! The running engine: its steps, and the handle that tests hold.

use super::batch::Step;
use super::orders::{FencedOrder, Order};
use super::routes;
use super::settings::{EngineSettings, LoadedModel, Switches};
use super::state::{EngineCounts, State};
use crate::http::Server;
use crate::http::server::handler;
use papayaproxy::Clock;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

/// Interval of load reports and of the sweep over streams without readers.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Pause of a stalled engine before it looks at its switch again.
const STALL_PAUSE: Duration = Duration::from_millis(5);

/// What the routes and the step loop share.
pub(crate) struct Shared {
    pub(crate) settings: EngineSettings,
    pub(crate) clock: Clock,
    pub(crate) wake: Notify,
    state: Mutex<State>,
    next_id: AtomicU64,
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Carries out an order that was taken.
    pub(crate) async fn obey(&self, order: Order) {
        match order {
            Order::Load(model) => self.load(model).await,
            Order::Unload { model, version } => {
                self.lock().loaded.retain(|l| l.model != model || l.version != version);
            }
            Order::Role { .. } => {}
            Order::Clear => {
                let now = self.clock.now();
                let mut state = self.lock();
                let mut changes = Vec::new();
                state.cache.clear(&mut changes);
                state.journal.write(now, changes);
            }
        }
    }

    async fn load(&self, model: LoadedModel) {
        sleep(self.settings.load_time).await;
        let mut state = self.lock();
        state.loaded.retain(|l| l.model != model.model || l.version != model.version);
        state.loaded.push(model);
    }
}

/// A running engine stand-in.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
}

/// Binds an engine stand-in.
///
/// # Errors
/// The address cannot be bound.
pub async fn bind(settings: EngineSettings) -> io::Result<Engine> {
    let shared = Arc::new(Shared {
        state: Mutex::new(State::new(&settings)),
        clock: Clock::start(),
        wake: Notify::new(),
        next_id: AtomicU64::new(1),
        settings,
    });
    let inner = shared.clone();
    let answer = handler(move |request| routes::answer(inner.clone(), request));
    let server = Server::bind(shared.settings.listen, answer).await?;
    tokio::spawn(server.stopped().run_until_cancelled_owned(run_steps(shared.clone())));
    tokio::spawn(server.stopped().run_until_cancelled_owned(run_reports(shared.clone())));
    Ok(Engine { server, shared })
}

impl Engine {
    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// What has happened so far.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().counts
    }

    /// The orders taken so far.
    pub fn orders(&self) -> Vec<FencedOrder> {
        self.shared.lock().orders.taken().to_vec()
    }

    /// Streams that wait or run.
    pub fn active(&self) -> usize {
        let state = self.shared.lock();
        state.batch.queued() + state.batch.running()
    }

    /// Sets the fault switches.
    pub fn switch(&self, switches: Switches) {
        self.shared.lock().switches = switches;
    }

    /// Closes every connection at once, as a killed process would.
    pub fn stop(&self) {
        self.server.stop();
    }
}

async fn run_reports(shared: Arc<Shared>) {
    loop {
        write_report(&shared);
        sleep(REPORT_INTERVAL).await;
    }
}

fn write_report(shared: &Shared) {
    let now = shared.clock.now();
    let mut state = shared.lock();
    state.report(now, &shared.settings);
    state.sweep(now, shared.settings.linger);
}

async fn run_steps(shared: Arc<Shared>) {
    let mut due = Instant::now();
    loop {
        if shared.lock().switches.stall {
            sleep(STALL_PAUSE).await;
            continue;
        }
        let planned = shared.lock().batch.plan();
        let Some(step) = planned else {
            shared.wake.notified().await;
            continue;
        };
        let took = step_time(&shared.settings, step);
        due = due.max(Instant::now()) + took;
        sleep_until(due).await;
        shared.lock().finish(step, took);
    }
}

fn step_time(settings: &EngineSettings, step: Step) -> Duration {
    let others = step.sequences.saturating_sub(1);
    settings.step + settings.step_each * others + settings.prefill_each * step.prefill
}
