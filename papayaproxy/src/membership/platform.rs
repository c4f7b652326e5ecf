//! Reads and watches the platform's configuration service and its list of hosts.

use super::actor::{HostList, NodeActor, PlatformAnswer, PlatformFailed};
use super::budget::{Budget, back_off};
use super::constants::{
    HOSTS_BYTES_MAX, HOSTS_INTERVAL, HOSTS_PAUSE, HOSTS_READ_PAUSE, HOSTS_READS, READ_LIMIT,
    WATCH_SLACK, WATCH_WAIT,
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

/// Calls that this process has made to the platform.
#[derive(Debug, Default)]
pub struct PlatformCalls {
    /// Reads and watches of the fleet document.
    pub config: AtomicU64,
    /// Reads of the list of hosts.
    pub hosts: AtomicU64,
    /// Calls that failed.
    pub failed: AtomicU64,
}

/// What the readers share.
#[derive(Clone)]
pub(crate) struct Reader {
    pub(crate) address: SocketAddr,
    pub(crate) actor: ActorRef<NodeActor>,
    pub(crate) calls: Arc<PlatformCalls>,
    pub(crate) clock: Clock,
    pub(crate) address_filter: AddressFilter,
    pub(crate) client: Client<HttpConnector, Empty<Bytes>>,
}

/// Makes the HTTP client.
pub(crate) fn client() -> Client<HttpConnector, Empty<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// The platform's answer to a read of the document.
enum Answer {
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

/// Reads the document once, then watches it for as long as this process is a watcher.
pub(crate) async fn follow_document(reader: Reader, mut watching: watch::Receiver<bool>) {
    let mut budget = Budget::new(reader.clock.now());
    let mut etag: Option<String> = None;
    let mut failures = 0;
    loop {
        sleep(budget.take(reader.clock.now())).await;
        let answer = tokio::select! {
            answer = reader.read_document(etag.as_deref()) => answer,
            () = stopped(&mut watching, etag.is_some()) => continue,
        };
        match answer {
            Ok(answer) => {
                failures = 0;
                let text = match answer {
                    Answer::Unchanged => None,
                    Answer::Text { etag: new, text } => {
                        etag = Some(new);
                        Some(text)
                    }
                };
                if reader.actor.tell(PlatformAnswer { text }).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                failures += 1;
                if reader.fail(&error, failures, Duration::ZERO).await.is_err() {
                    return;
                }
            }
        }
        if watching.wait_for(|w| *w).await.is_err() {
            return;
        }
    }
}

/// Waits until this process stops to be a watcher; for ever where that does not matter.
async fn stopped(watching: &mut watch::Receiver<bool>, matters: bool) {
    if !matters || watching.wait_for(|w| !*w).await.is_err() {
        std::future::pending::<()>().await;
    }
    // A process that watches no more comes back here only once it watches again.
    let _ = watching.wait_for(|w| *w).await;
}

/// Reads the list of hosts a few times, then at intervals while this process is a watcher.
pub(crate) async fn follow_hosts(reader: Reader, mut watching: watch::Receiver<bool>) {
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
                let early = reads < HOSTS_READS;
                sleep(if early { HOSTS_READ_PAUSE } else { HOSTS_INTERVAL }).await;
                if early {
                    continue;
                }
            }
            Err(error) => {
                failures += 1;
                if reader.fail(&error, failures, HOSTS_PAUSE).await.is_err() {
                    return;
                }
            }
        }
        if watching.wait_for(|w| *w).await.is_err() {
            return;
        }
    }
}

impl Reader {
    /// Counts and logs a failure, then pauses for `least` or longer.
    async fn fail(&self, error: &PlatformError, failures: u32, least: Duration) -> Result<(), ()> {
        self.calls.failed.fetch_add(1, Ordering::Relaxed);
        let pause = back_off(failures, &mut rand::rng()).max(least);
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

    async fn read_document(&self, etag: Option<&str>) -> Result<Answer, PlatformError> {
        let path = match etag {
            None => "/v1/config/fleet".to_owned(),
            Some(etag) => {
                let etag = escape(etag);
                format!("/v1/config/fleet?after={etag}&wait={}s", WATCH_WAIT.as_secs())
            }
        };
        let limit = if etag.is_some() { WATCH_WAIT + WATCH_SLACK } else { READ_LIMIT };
        let response = self.get(&path, &self.calls.config, limit).await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(Answer::Unchanged);
        }
        let header = response.headers().get(ETAG).and_then(|v| v.to_str().ok());
        let etag = header.unwrap_or_default().to_owned();
        let bytes = body(response, DOCUMENT_BYTES_MAX + 1).await?;
        let text = String::from_utf8(bytes.into());
        let text = text.map_err(|e| PlatformError::Malformed { reason: e.to_string() })?;
        Ok(Answer::Text { etag, text })
    }

    async fn read_hosts(&self) -> Result<Vec<Candidate>, PlatformError> {
        let response = self.get("/v1/hosts", &self.calls.hosts, READ_LIMIT).await?;
        let bytes = body(response, HOSTS_BYTES_MAX).await?;
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
            return Err(PlatformError::Unreachable { reason: "cut off".into() });
        }
        let uri: Uri = format!("http://{}{path}", self.address).parse().map_err(
            |e: hyper::http::uri::InvalidUri| PlatformError::Malformed { reason: e.to_string() },
        )?;
        let answer = timeout(limit, self.client.get(uri)).await;
        let answer = answer.map_err(|_| PlatformError::Unreachable { reason: "timeout".into() })?;
        let response = answer.map_err(|e| PlatformError::Unreachable { reason: e.to_string() })?;
        if !(self.address_filter)(self.address) {
            return Err(PlatformError::Unreachable { reason: "cut off".into() });
        }
        let status = response.status();
        if status.is_success() || status == StatusCode::NOT_MODIFIED {
            return Ok(response);
        }
        Err(PlatformError::Refused { status: status.as_u16() })
    }
}

async fn body(
    response: Response<hyper::body::Incoming>,
    limit: usize,
) -> Result<Bytes, PlatformError> {
    let collected = timeout(READ_LIMIT, Limited::new(response.into_body(), limit).collect()).await;
    let collected =
        collected.map_err(|_| PlatformError::Unreachable { reason: "timeout".into() })?;
    let collected = collected.map_err(|e| PlatformError::Malformed { reason: e.to_string() })?;
    Ok(collected.to_bytes())
}

/// Escapes a revision for a query.
fn escape(text: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    let escaped = text.bytes().map(|b| match plain(b) {
        true => char::from(b).to_string(),
        false => format!("%{b:02X}"),
    });
    escaped.collect()
}
