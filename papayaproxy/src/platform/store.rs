//! Calls to the platform's store. It can only be read and watched.

use super::caller::{CallError, Caller};
use super::names::{CONFIG_KEY, UPSTREAM_PREFIX};
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use hyper::StatusCode;
use serde::Deserialize;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

/// Time that a store has to answer a call; on bad days it takes a hundred times its usual 4 ms.
const CALL_LIMIT: Duration = Duration::from_millis(1200);

/// Pages that one listing may have, so that a store that never ends a listing is left.
const PAGES_MAX: usize = 256;

/// Why a call brought nothing.
#[derive(Debug, Snafu)]
pub(crate) enum StoreError {
    /// No answer.
    #[snafu(display("{source}"), context(false))]
    NoAnswer { source: CallError },
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
pub(crate) struct StoreUpdate {
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

/// The one client of the store.
pub(crate) struct Store {
    caller: Caller,
}

impl Store {
    /// A client of the store at `address`; connects at the first call.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { caller: Caller::new(address) }
    }

    /// Reads the configuration; no item where the operator has written none.
    pub(crate) async fn read_config(&self) -> Result<StoreUpdate, StoreError> {
        let path = format!("/kv-key?key={CONFIG_KEY}");
        let Some(body) = self.call(&path, CALL_LIMIT).await? else {
            return Ok(StoreUpdate::default());
        };
        let item: WireItem = parse(&body)?;
        let revision = item.at_rev.max(item.revision);
        Ok(StoreUpdate { items: vec![decode(item, CONFIG_KEY)?], revision })
    }

    /// Lists the replicas' entries.
    pub(crate) async fn read_upstreams(&self) -> Result<StoreUpdate, StoreError> {
        let mut all = StoreUpdate::default();
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
    ) -> Result<StoreUpdate, StoreError> {
        self.watch(CONFIG_KEY, CONFIG_KEY, revision, wait).await
    }

    /// Waits up to `wait` for changes of the replicas' entries after `revision`.
    pub(crate) async fn watch_upstreams(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<StoreUpdate, StoreError> {
        self.watch(UPSTREAM_PREFIX, UPSTREAM_PREFIX, revision, wait).await
    }

    async fn watch(
        &self,
        prefix: &str,
        strip: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<StoreUpdate, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("/kv-watch?pathPrefix={prefix}&after={revision}&waitMs={wait_ms}");
        let body = self.call(&path, wait + CALL_LIMIT).await?.unwrap_or_default();
        let answer: WirePage = parse(&body)?;
        let items = answer.items.into_iter().map(|i| decode(i, strip)).collect::<Result<_, _>>()?;
        Ok(StoreUpdate { items, revision: answer.at_rev.max(revision) })
    }

    /// One call; `None` for 404.
    async fn call(&self, path: &str, limit: Duration) -> Result<Option<Bytes>, StoreError> {
        let (status, body) = self.caller.get(path, limit).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            status => Err(StoreError::Refused { status }),
        }
    }
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
