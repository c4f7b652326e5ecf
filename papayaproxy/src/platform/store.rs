//! Calls to the platform's store. It can only be read and watched.

use super::names::{CONFIG_KEY, UPSTREAM_PREFIX};
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use snafu::Snafu;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest answer that is read, in bytes: a page of a megabyte in base64, with its frame.
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// Time that a store has to answer a call; on bad days it takes a hundred times its usual 4 ms.
const CALL_LIMIT: Duration = Duration::from_millis(1200);

/// Pages that one listing may have, so that a store that never ends a listing is left.
const PAGES_MAX: usize = 256;

/// Why a call brought nothing.
#[derive(Debug, Snafu)]
pub(crate) enum StoreError {
    /// No connection.
    #[snafu(display("cannot connect to the store: {source}"))]
    Connect { source: std::io::Error },
    /// The connection broke or its bytes are no answer.
    #[snafu(display("the store's answer broke off: {reason}"))]
    Broken { reason: String },
    /// No answer in time.
    #[snafu(display("no answer from the store within {} ms", limit.as_millis()))]
    Late { limit: Duration },
    /// The store refused the call.
    #[snafu(display("the store answered {status}"))]
    Refused { status: StatusCode },
    /// The history that a watch asked for is no longer there.
    #[snafu(display("the store's history is gone"))]
    HistoryGone,
    /// A body that cannot be read.
    #[snafu(display("the store's answer cannot be read: {reason}"))]
    Malformed { reason: String },
}

/// One value as the store holds it.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    /// Its key, without the prefix that was asked for.
    pub(crate) key: String,
    /// Its bytes; `None` where it was deleted.
    pub(crate) value: Option<Bytes>,
    /// Revision of its last change.
    pub(crate) revision: u64,
}

/// What a read or a watch brought.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watched {
    /// Items as written or deleted, in order.
    pub(crate) items: Vec<Item>,
    /// The store's revision, from which a watch goes on.
    pub(crate) revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireItem {
    #[serde(default)]
    key: String,
    value: Option<String>,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    deleted: bool,
    #[serde(default)]
    at_rev: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePage {
    #[serde(default, alias = "events")]
    items: Vec<WireItem>,
    #[serde(default)]
    has_more: bool,
    #[serde(default)]
    at_rev: u64,
}

type Connection = SendRequest<Empty<Bytes>>;

/// The one client of the store.
pub(crate) struct Store {
    address: SocketAddr,
    host: String,
    idle: RefCell<Vec<Connection>>,
}

impl Store {
    /// A client of the store at `address`; connects at the first call.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, host: address.to_string(), idle: RefCell::default() }
    }

    /// Reads the configuration; no item where the operator has written none.
    pub(crate) async fn read_config(&self) -> Result<Watched, StoreError> {
        let path = format!("/kv-key?key={CONFIG_KEY}");
        let Some(body) = self.call(&path, CALL_LIMIT).await? else {
            return Ok(Watched::default());
        };
        let item: WireItem = parse(&body)?;
        let revision = item.at_rev.max(item.revision);
        Ok(Watched { items: vec![decode(item, CONFIG_KEY)?], revision })
    }

    /// Lists the replicas' entries.
    pub(crate) async fn read_upstreams(&self) -> Result<Watched, StoreError> {
        let mut all = Watched::default();
        let mut after = String::new();
        for page in 0..PAGES_MAX {
            let mut path = format!("/kv-range?pathPrefix={UPSTREAM_PREFIX}");
            if !after.is_empty() {
                path.push_str("&after=");
                path.extend(form_urlencoded::byte_serialize(after.as_bytes()));
            }
            let body = self.call(&path, CALL_LIMIT).await?.unwrap_or_default();
            let answer: WirePage = parse(&body)?;
            // Later pages may be newer; the watch begins at the first, so that no change is missed.
            if page == 0 {
                all.revision = answer.at_rev;
            }
            if let Some(last) = answer.items.last() {
                after.clone_from(&last.key);
            }
            let more = answer.has_more && !answer.items.is_empty();
            for item in answer.items {
                all.items.push(decode(item, UPSTREAM_PREFIX)?);
            }
            if !more {
                return Ok(all);
            }
        }
        Err(StoreError::Malformed { reason: format!("more than {PAGES_MAX} pages") })
    }

    /// Waits up to `wait` for changes of the configuration after `revision`.
    pub(crate) async fn watch_config(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        self.watch(CONFIG_KEY, CONFIG_KEY, revision, wait).await
    }

    /// Waits up to `wait` for changes of the replicas' entries after `revision`.
    pub(crate) async fn watch_upstreams(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        self.watch(UPSTREAM_PREFIX, UPSTREAM_PREFIX, revision, wait).await
    }

    async fn watch(
        &self,
        prefix: &str,
        strip: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("/kv-watch?pathPrefix={prefix}&after={revision}&waitMs={wait_ms}");
        let body = self.call(&path, wait + CALL_LIMIT).await?.unwrap_or_default();
        let answer: WirePage = parse(&body)?;
        let items = answer.items.into_iter().map(|i| decode(i, strip)).collect::<Result<_, _>>()?;
        Ok(Watched { items, revision: answer.at_rev.max(revision) })
    }

    /// One call; `None` for 404. The connection is kept only after a whole answer.
    async fn call(&self, path: &str, limit: Duration) -> Result<Option<Bytes>, StoreError> {
        let answer = timeout(limit, self.exchange(path)).await;
        answer.unwrap_or(Err(StoreError::Late { limit }))
    }

    async fn exchange(&self, path: &str) -> Result<Option<Bytes>, StoreError> {
        let mut connection = self.connection().await?;
        let request = Request::get(path).header(HOST, &self.host).body(Empty::new());
        let request = request.map_err(|e| StoreError::Malformed { reason: e.to_string() })?;
        let answer = connection.send_request(request).await.map_err(broken)?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), ANSWER_BYTES_MAX).collect().await;
        let body = body.map_err(broken)?.to_bytes();
        self.idle.borrow_mut().push(connection);
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            status => Err(StoreError::Refused { status }),
        }
    }

    async fn connection(&self) -> Result<Connection, StoreError> {
        loop {
            let Some(idle) = self.idle.borrow_mut().pop() else { break };
            if idle.is_ready() {
                return Ok(idle);
            }
        }
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|source| StoreError::Connect { source })?;
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "cannot set TCP_NODELAY");
        }
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(broken)?;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection to the store ended");
            }
        });
        Ok(sender)
    }
}

fn broken(error: impl std::fmt::Display) -> StoreError {
    StoreError::Broken { reason: error.to_string() }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::Malformed { reason: e.to_string() })
}

fn decode(item: WireItem, prefix: &str) -> Result<Item, StoreError> {
    let value = match item.value {
        Some(text) if !item.deleted => {
            let bytes = BASE64_STANDARD.decode(text);
            let bytes = bytes.map_err(|e| StoreError::Malformed { reason: e.to_string() })?;
            Some(bytes.into())
        }
        _ => None,
    };
    let key = item.key.strip_prefix(prefix).unwrap_or(&item.key).to_owned();
    Ok(Item { key, value, revision: item.revision })
}
