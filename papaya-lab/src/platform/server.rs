//! The running platform.

use super::budget::Budget;
use super::config::{Config, HostList, ListedHost, PlatformSwitches};
use super::routes;
use crate::http::Server;
use crate::http::server::handler;
use bytes::Bytes;
use papayaproxy::Clock;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Settings of a platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Calls that it answers, a second; a watch counts as one.
    pub calls: u32,
    /// How late the host list is.
    pub host_lag: Duration,
    /// Rate at which weights are read, over all readers, in bytes a second.
    pub weight_rate: u64,
    /// Size of every blob of weights, in bytes.
    pub blob_size: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            calls: 2000,
            host_lag: Duration::from_secs(2),
            weight_rate: 256 << 20,
            blob_size: 8 << 20,
        }
    }
}

/// Calls so far. Those of the operator's side and of the lab do not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// All calls.
    pub calls: u64,
    /// Plain reads of the document.
    pub reads: u64,
    /// Watches of the document.
    pub watches: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Reads of weights.
    pub weights: u64,
    /// Calls over the budget.
    pub over_budget: u64,
    /// Calls that came while it was down.
    pub while_down: u64,
}

/// What the routes share.
pub(crate) struct Shared {
    pub(crate) settings: PlatformSettings,
    clock: Clock,
    config: Mutex<Config>,
    counts: Mutex<PlatformCounts>,
    budget: Mutex<Budget>,
    weights: Mutex<Budget>,
    /// Rises with each change that a watch may wait for.
    changes: watch::Sender<u64>,
}

impl Shared {
    fn new(settings: PlatformSettings) -> Self {
        let calls = f64::from(settings.calls);
        let rate = settings.weight_rate as f64;
        Self {
            budget: Mutex::new(Budget::new(calls, calls)),
            weights: Mutex::new(Budget::new(rate, 0.0)),
            settings,
            clock: Clock::start(),
            config: Mutex::default(),
            counts: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn config(&self) -> MutexGuard<'_, Config> {
        lock(&self.config)
    }

    pub(crate) fn counts(&self) -> MutexGuard<'_, PlatformCounts> {
        lock(&self.counts)
    }

    pub(crate) fn take_call(&self) -> bool {
        lock(&self.budget).take(self.now())
    }

    pub(crate) fn reserve_weights(&self, size: u64) -> Duration {
        lock(&self.weights).reserve(self.now(), size as f64)
    }

    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn publish(&self, document: Bytes) -> String {
        let etag = self.config().publish(document).etag;
        self.changes.send_modify(|n| *n += 1);
        etag
    }

    pub(crate) fn switch(&self, switches: PlatformSwitches) {
        self.config().switch(switches);
        self.changes.send_modify(|n| *n += 1);
    }

    pub(crate) fn list(&self, hosts: HostList) {
        let now = self.now();
        self.config().list(now, hosts);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running platform.
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

/// Binds a platform without a document.
///
/// # Errors
/// The address cannot be bound.
pub async fn bind(settings: PlatformSettings) -> io::Result<Platform> {
    let shared = Arc::new(Shared::new(settings));
    let inner = shared.clone();
    let answer = handler(move |request| routes::answer(inner.clone(), request));
    let server = Server::bind(shared.settings.listen, answer).await?;
    Ok(Platform { server, shared })
}

impl Platform {
    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Calls so far.
    pub fn counts(&self) -> PlatformCounts {
        *self.shared.counts()
    }

    /// Publishes a document, as an operator does. Gives its revision.
    pub fn publish(&self, document: impl Into<Bytes>) -> String {
        self.shared.publish(document.into())
    }

    /// Sets the host list, which readers see after the lag.
    pub fn list(&self, hosts: Vec<ListedHost>) {
        self.shared.list(HostList { hosts });
    }

    /// Sets the fault switches.
    pub fn switch(&self, switches: PlatformSwitches) {
        self.shared.switch(switches);
    }

    /// Closes every connection at once, as a killed process would.
    pub fn stop(&self) {
        self.server.stop();
    }
}
