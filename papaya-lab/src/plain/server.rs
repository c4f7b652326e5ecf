//! The running plain service.

use super::ledger::{Counts, Label};
use crate::engine::loads::Report;
use crate::http::Server;
use crate::http::body::{Body, collect, collect_json, full, json, text};
use crate::http::server::handler;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Tells a caller the number of the run that it got.
const RUN_HEADER: &str = "lab-run";

/// Calls that it runs at a time, as its load report states.
const SLOTS: u32 = 64;

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// How long each call takes.
    pub service: Duration,
    /// Whether calls are counted one by one; off for a measurement of speed.
    pub count: bool,
}

impl Default for PlainSettings {
    fn default() -> Self {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self { listen, service: Duration::from_millis(2), count: true }
    }
}

/// Faults that a test switches on and off while the service runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainSwitches {
    /// Each call is answered by this status without being run; 0 for none.
    pub error: u16,
    /// Of so many calls one runs, but its reply is lost with its connection; 0 for none.
    pub lose_every: u64,
    /// Calls run, but no reply is sent while it is set.
    pub stall: bool,
    /// What is added to the service time, in milliseconds.
    pub delay_ms: u64,
}

struct Shared {
    settings: PlainSettings,
    counts: Mutex<Counts>,
    switches: Mutex<PlainSwitches>,
    reports: AtomicU64,
}

impl Shared {
    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn switches(&self) -> MutexGuard<'_, PlainSwitches> {
        self.switches.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running plain service.
pub struct Plain {
    server: Server,
    shared: Arc<Shared>,
}

/// Binds a plain service.
///
/// # Errors
/// The address cannot be bound.
pub async fn bind(settings: PlainSettings) -> io::Result<Plain> {
    let listen = settings.listen;
    let shared = Arc::new(Shared {
        settings,
        counts: Mutex::default(),
        switches: Mutex::default(),
        reports: AtomicU64::new(0),
    });
    let inner = shared.clone();
    let server = Server::bind(listen, handler(move |r| answer(inner.clone(), r))).await?;
    Ok(Plain { server, shared })
}

impl Plain {
    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// How often each call ran.
    pub fn counts(&self) -> Counts {
        self.shared.counts().clone()
    }

    /// Sets the fault switches.
    pub fn switch(&self, switches: PlainSwitches) {
        *self.shared.switches() = switches;
    }

    /// Closes every connection at once, as a killed process would.
    pub fn stop(&self) {
        self.server.stop();
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/counts") => Ok(json(StatusCode::OK, &*shared.counts())),
        (&Method::POST, "/switch") => switch(&shared, request).await,
        (&Method::GET, "/v1/load") => Ok(json(StatusCode::OK, &load(&shared))),
        _ => call(&shared, request).await,
    }
}

/// The load report: calls that run, of as many as it takes at a time.
fn load(shared: &Shared) -> Report {
    let total = shared.counts().total;
    Report {
        sequence: shared.reports.fetch_add(1, Ordering::Relaxed) + 1,
        running: total.started.saturating_sub(total.finished).min(u64::from(SLOTS)) as u32,
        slots: SLOTS,
        step_us: shared.settings.service.as_micros() as u64,
        ..Report::default()
    }
}

async fn switch(shared: &Shared, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let switches: PlainSwitches = match collect_json(request.into_body()).await {
        Ok(switches) => switches,
        Err(error) => return Ok(text(StatusCode::BAD_REQUEST, error.to_string())),
    };
    *shared.switches() = switches;
    Ok(text(StatusCode::NO_CONTENT, ""))
}

async fn call(shared: &Arc<Shared>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let key = request.headers().get("idempotency-key").and_then(|v| v.to_str().ok());
    let key = key.map(str::to_owned);
    let body = collect(request.into_body()).await?;
    let switches = *shared.switches();
    if let Some(status) = StatusCode::from_u16(switches.error).ok().filter(|s| s.as_u16() > 0) {
        return Ok(text(status, "switched to fail\n"));
    }
    if !shared.settings.count {
        pause(shared.settings.service).await;
        return Ok(Response::new(full(body)));
    }
    let label = Label { key, ..serde_json::from_slice(&body).unwrap_or_default() };
    // A call runs to its end whether or not its caller still waits.
    let running = tokio::spawn(run_call(shared.clone(), label, switches));
    let run = running.await.map_err(io::Error::other)?;
    if switches.stall {
        std::future::pending::<()>().await;
    }
    if switches.lose_every > 0 && run % switches.lose_every == 0 {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    let mut reply = Response::new(full(body));
    reply.headers_mut().insert(RUN_HEADER, HeaderValue::from(run));
    Ok(reply)
}

async fn run_call(shared: Arc<Shared>, label: Label, switches: PlainSwitches) -> u64 {
    let run = {
        let mut counts = shared.counts();
        counts.start(&label);
        counts.total.started
    };
    pause(shared.settings.service + Duration::from_millis(switches.delay_ms)).await;
    shared.counts().finish(&label);
    run
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}
