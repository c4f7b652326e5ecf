//! Client of the platform: reads and watches the fleet document, and reads the host list.

use super::actor::{HostList, NodeActor, PlatformFailed, PlatformReply};
use super::budget::{CallBudget, backoff};
use super::constants::{
    HOSTS_BACKOFF_MIN, HOSTS_BYTES_MAX, HOSTS_INTERVAL, HOSTS_STARTUP_INTERVAL,
    HOSTS_STARTUP_READS, READ_TIMEOUT, WATCH_SLACK, WATCH_WAIT,
};
use super::error::PlatformError;
use super::events;
use super::members::Candidate;
use super::node::AddressFilter;
use crate::base::clock::Clock;
use crate::base::constants::DOCUMENT_BYTES_MAX;
use crate::settings::parse_name;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::header::ETAG;
use hyper::{Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use kameo::actor::ActorRef;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Counters of platform calls.
#[derive(Debug, Default)]
pub struct PlatformCalls {
    /// Reads and watches of the fleet document.
    pub config: AtomicU64,
    /// Reads of the host list.
    pub hosts: AtomicU64,
    /// Failed calls of either kind.
    pub failed: AtomicU64,
}

/// Context shared by the readers of document and host list.
#[derive(Clone)]
pub(crate) struct PlatformReader {
    pub(crate) address: SocketAddr,
    pub(crate) actor: ActorRef<NodeActor>,
    pub(crate) calls: Arc<PlatformCalls>,
    pub(crate) clock: Clock,
    pub(crate) address_filter: AddressFilter,
    pub(crate) client: Client<HttpConnector, Empty<Bytes>>,
}

pub(crate) fn client() -> Client<HttpConnector, Empty<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Response to a read of the document.
enum DocumentReply {
    Unchanged,
    Text { etag: String, text: String },
}

#[derive(Deserialize)]
struct HostTable {
    hosts: Vec<HostRow>,
}

#[derive(Deserialize)]
struct HostRow {
    address: String,
    zone: String,
}

/// Reads the document once, then watches it while this process is a watcher.
pub(crate) async fn follow_document(reader: PlatformReader, mut watching: watch::Receiver<bool>) {
    let mut budget = CallBudget::new(reader.clock.now());
    let mut etag: Option<String> = None;
    let mut failures = 0;
    loop {
        sleep(budget.reserve(reader.clock.now())).await;
        let response = tokio::select! {
            response = reader.read_document(etag.as_deref()) => response,
            () = watch_stopped(&mut watching, etag.is_some()) => continue,
        };
        match response {
            Ok(response) => {
                failures = 0;
                let text = match response {
                    DocumentReply::Unchanged => None,
                    DocumentReply::Text { etag: new, text } => {
                        etag = Some(new);
                        Some(text)
                    }
                };
                if reader.actor.tell(PlatformReply { text }).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                failures += 1;
                if reader.record_failure(&error, failures, Duration::ZERO).await.is_err() {
                    return;
                }
            }
        }
        if watching.wait_for(|w| *w).await.is_err() {
            return;
        }
    }
}

/// Waits until this process has ceased to be a watcher and is one again.
///
/// Never returns if `is_armed` is false.
async fn watch_stopped(watching: &mut watch::Receiver<bool>, is_armed: bool) {
    if !is_armed || watching.wait_for(|w| !*w).await.is_err() {
        std::future::pending::<()>().await;
    }
    // Returns only when the process watches again, so that the caller's next read is due then.
    let _ = watching.wait_for(|w| *w).await;
}

/// Reads the host list a few times at startup, then periodically while this process is a watcher.
pub(crate) async fn follow_hosts(reader: PlatformReader, mut watching: watch::Receiver<bool>) {
    let mut failures = 0;
    let mut reads = 0;
    loop {
        reads += 1;
        match reader.read_hosts().await {
            Ok(hosts) => {
                failures = 0;
                if reader.actor.tell(HostList { hosts }).await.is_err() {
                    return;
                }
                let is_startup = reads < HOSTS_STARTUP_READS;
                sleep(if is_startup { HOSTS_STARTUP_INTERVAL } else { HOSTS_INTERVAL }).await;
                if is_startup {
                    continue;
                }
            }
            Err(error) => {
                failures += 1;
                if reader.record_failure(&error, failures, HOSTS_BACKOFF_MIN).await.is_err() {
                    return;
                }
            }
        }
        if watching.wait_for(|w| *w).await.is_err() {
            return;
        }
    }
}

impl PlatformReader {
    /// Counts and logs a failure, then sleeps for the backoff delay, at least `min_pause`.
    ///
    /// Fails if the actor has stopped.
    async fn record_failure(
        &self,
        error: &PlatformError,
        failures: u32,
        min_pause: Duration,
    ) -> Result<(), ()> {
        self.calls.failed.fetch_add(1, Ordering::Relaxed);
        let pause = backoff(failures, &mut rand::rng()).max(min_pause);
        tracing::warn!(
            event = events::PLATFORM_FAILED,
            code = %error.code(),
            reason = %error,
            ?pause,
            "platform call failed"
        );
        self.actor.tell(PlatformFailed).await.map_err(|_| ())?;
        sleep(pause).await;
        Ok(())
    }

    async fn read_document(&self, etag: Option<&str>) -> Result<DocumentReply, PlatformError> {
        let path = match etag {
            None => "/v1/config/fleet".to_owned(),
            Some(etag) => {
                let etag = percent_encode(etag);
                format!("/v1/config/fleet?after={etag}&wait={}s", WATCH_WAIT.as_secs())
            }
        };
        let limit = if etag.is_some() { WATCH_WAIT + WATCH_SLACK } else { READ_TIMEOUT };
        let response = self.get(&path, &self.calls.config, limit).await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(DocumentReply::Unchanged);
        }
        let header = response.headers().get(ETAG).and_then(|v| v.to_str().ok());
        let etag = header.unwrap_or_default().to_owned();
        let bytes = read_body(response, DOCUMENT_BYTES_MAX + 1).await?;
        let text = String::from_utf8(bytes.into());
        let text = text.map_err(|e| PlatformError::Malformed { reason: e.to_string() })?;
        Ok(DocumentReply::Text { etag, text })
    }

    async fn read_hosts(&self) -> Result<Vec<Candidate>, PlatformError> {
        let response = self.get("/v1/hosts", &self.calls.hosts, READ_TIMEOUT).await?;
        let bytes = read_body(response, HOSTS_BYTES_MAX).await?;
        let table: Result<HostTable, _> = serde_json::from_slice(&bytes);
        let table = table.map_err(|e| PlatformError::Malformed { reason: e.to_string() })?;
        let hosts = table.hosts.into_iter().filter_map(|row| {
            Some(Candidate { address: row.address.parse().ok()?, zone: parse_name(&row.zone).ok() })
        });
        Ok(hosts.collect())
    }

    async fn get(
        &self,
        path: &str,
        counter: &AtomicU64,
        limit: Duration,
    ) -> Result<Response<hyper::body::Incoming>, PlatformError> {
        counter.fetch_add(1, Ordering::Relaxed);
        if !(self.address_filter)(self.address) {
            return Err(PlatformError::Unreachable { reason: "address not allowed".into() });
        }
        let uri: Uri = format!("http://{}{path}", self.address).parse().map_err(
            |e: hyper::http::uri::InvalidUri| PlatformError::Malformed { reason: e.to_string() },
        )?;
        let response = timeout(limit, self.client.get(uri)).await;
        let response =
            response.map_err(|_| PlatformError::Unreachable { reason: "timeout".into() })?;
        let response =
            response.map_err(|e| PlatformError::Unreachable { reason: e.to_string() })?;
        if !(self.address_filter)(self.address) {
            return Err(PlatformError::Unreachable { reason: "address not allowed".into() });
        }
        let status = response.status();
        if status.is_success() || status == StatusCode::NOT_MODIFIED {
            return Ok(response);
        }
        Err(PlatformError::Refused { status: status.as_u16() })
    }
}

async fn read_body(
    response: Response<hyper::body::Incoming>,
    limit: usize,
) -> Result<Bytes, PlatformError> {
    let collected =
        timeout(READ_TIMEOUT, Limited::new(response.into_body(), limit).collect()).await;
    let collected =
        collected.map_err(|_| PlatformError::Unreachable { reason: "timeout".into() })?;
    let collected = collected.map_err(|e| PlatformError::Malformed { reason: e.to_string() })?;
    Ok(collected.to_bytes())
}

/// Percent-encodes a revision for a query string.
fn percent_encode(text: &str) -> String {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    let escaped = text.bytes().map(|b| match is_unreserved(b) {
        true => char::from(b).to_string(),
        false => format!("%{b:02X}"),
    });
    escaped.collect()
}
