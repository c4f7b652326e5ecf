//! Client of the platform's store, which allows reads and watches only.

use super::caller::{CallError, HttpClient};
use super::names::{CONFIG_KEY, EVACUATION_PREFIX, OPERATOR_PREFIX, STORE_ERA, UPSTREAM_PREFIX};
use crate::catalog::Revision;
use base64::prelude::BASE64_STANDARD;
use base64::{DecodeError, Engine as _};
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use serde::Deserialize;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a store call. The store usually responds in 4 ms, but at times takes a hundred times
/// as long.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Limit of pages per listing, so that a listing that never ends is abandoned.
const PAGES_MAX: usize = 256;

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
pub(crate) enum StoreError {
    #[snafu(display("{source}"), context(false))]
    NoResponse { source: CallError },
    #[snafu(display("the store responded with {status}"))]
    Refused { status: StatusCode },
    /// The store no longer has the revisions that a watch asked for; a full read is needed.
    #[snafu(display("the store no longer has the requested history"))]
    HistoryGone {
        /// The store's era.
        era: u64,
    },
    #[snafu(display("invalid response from the store: {reason}"))]
    Malformed { reason: String },
}

/// What a failed call tells of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureSign {
    /// The store answered, though not with what was asked for.
    Answered,
    /// The store closed the connection or refused the call, at a time that is not known: the process
    /// may have stood still since.
    Closed,
    /// Nothing came from the store.
    Silent,
}

impl StoreError {
    /// What the failed call tells of the store.
    pub(crate) fn sign(&self) -> FailureSign {
        match self {
            Self::HistoryGone { .. } | Self::Malformed { .. } => FailureSign::Answered,
            // Only the rate of calls is above its limit.
            Self::Refused { status } if *status == StatusCode::TOO_MANY_REQUESTS => {
                FailureSign::Answered
            }
            Self::NoResponse { source: CallError::Timeout { .. } } => FailureSign::Silent,
            Self::Refused { .. } | Self::NoResponse { .. } => FailureSign::Closed,
        }
    }
}

/// A value in the store.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    /// The key, without the requested prefix.
    pub(crate) key: String,
    /// The stored bytes, or why they cannot be read; `None` if the key was deleted.
    pub(crate) value: Option<Result<Bytes, DecodeError>>,
    /// The last change of this key.
    pub(crate) revision: Revision,
}

/// Result of a read or a watch.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreUpdate {
    /// Written and deleted items, in the order of the changes.
    pub(crate) items: Vec<Item>,
    /// Revision of the store after which the next watch starts.
    pub(crate) revision: Revision,
}

/// The operator began or ended an evacuation.
#[derive(Clone, Debug)]
pub(crate) struct EvacuationChange {
    /// Availability zone as the key names it, not checked.
    pub(crate) zone: String,
    /// Whether the key exists. Its value has no meaning.
    pub(crate) is_evacuated: bool,
    /// The last change of the key.
    pub(crate) revision: Revision,
}

/// Result of a read or a watch of what the operator writes.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperatorUpdate {
    /// Changes of the configuration, and the revision of the store.
    pub(crate) config: StoreUpdate,
    /// Changes of evacuations, in their order; empty unless they were asked for.
    pub(crate) evacuations: Vec<EvacuationChange>,
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

impl WirePage {
    /// The changes under `prefix` that a watch after `revision` brought.
    fn into_update(self, prefix: &str, revision: Revision) -> StoreUpdate {
        let revision = self.end(revision);
        let items = self.items.into_iter().filter_map(|i| decode(i, prefix, revision.era));
        StoreUpdate { items: items.collect(), revision }
    }

    /// The store's revision after a watch from `revision`.
    fn end(&self, revision: Revision) -> Revision {
        Revision { number: self.at_rev.max(revision.number), ..revision }
    }
}

impl From<StoreUpdate> for OperatorUpdate {
    fn from(config: StoreUpdate) -> Self {
        Self { config, evacuations: Vec::new() }
    }
}

/// All pages of a listing.
struct Listing {
    items: Vec<WireItem>,
    /// The store's revision when it sent the first page.
    revision: Revision,
    /// Whether an empty page named further ones, which then cannot be asked for.
    is_truncated: bool,
}

/// Client of the store.
pub(crate) struct Store {
    client: HttpClient,
}

impl Store {
    /// Creates a client of the store at `address`. It connects at the first call.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { client: HttpClient::new(address) }
    }

    /// Reads the configuration and the evacuations.
    pub(crate) async fn read_operator(&self) -> Result<OperatorUpdate, StoreError> {
        let listing = self.list(OPERATOR_PREFIX).await?;
        // A set that lacks an evacuation must not pass for a complete one.
        if listing.is_truncated {
            let reason = "an empty page is followed by others".to_owned();
            return Err(StoreError::Malformed { reason });
        }
        Ok(split(listing.items, listing.revision))
    }

    /// Waits up to `wait` for changes of the configuration and the evacuations after `revision`.
    pub(crate) async fn watch_operator(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> Result<OperatorUpdate, StoreError> {
        let page = self.watch(OPERATOR_PREFIX, revision, wait).await?;
        let end = page.end(revision);
        Ok(split(page.items, end))
    }

    /// Reads the configuration. The update has no items if the operator has not written one yet.
    pub(crate) async fn read_config(&self) -> Result<StoreUpdate, StoreError> {
        let path = format!("/kv-key?key={CONFIG_KEY}");
        let (era, body) = self.call(&path, CALL_TIMEOUT).await?;
        let Some(body) = body else {
            let revision = Revision { era, number: 0 };
            return Ok(StoreUpdate { items: Vec::new(), revision });
        };
        let item: WireItem = parse(&body)?;
        let revision = Revision { era, number: item.at_rev.max(item.revision) };
        let items = decode(item, CONFIG_KEY, era).into_iter().collect();
        Ok(StoreUpdate { items, revision })
    }

    /// Lists the upstream records.
    pub(crate) async fn read_upstreams(&self) -> Result<StoreUpdate, StoreError> {
        let Listing { items, revision, .. } = self.list(UPSTREAM_PREFIX).await?;
        let items = items.into_iter().filter_map(|i| decode(i, UPSTREAM_PREFIX, revision.era));
        Ok(StoreUpdate { items: items.collect(), revision })
    }

    /// Reads all pages of the keys that begin with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let mut items = Vec::new();
        let mut revision = Revision::default();
        let mut after = String::new();
        for index in 0..PAGES_MAX {
            let mut path = format!("/kv-range?pathPrefix={prefix}");
            if !after.is_empty() {
                path.push_str("&after=");
                path.extend(form_urlencoded::byte_serialize(after.as_bytes()));
            }
            let (era, body) = self.call(&path, CALL_TIMEOUT).await?;
            let page: WirePage = parse(&body.unwrap_or_default())?;
            // Later pages may be newer than the first. The watch starts at the revision of the
            // first page, so that no change is missed.
            if index == 0 {
                revision = Revision { era, number: page.at_rev };
            }
            if era != revision.era {
                return Err(StoreError::HistoryGone { era });
            }
            let last = page.items.last().map(|item| item.key.clone());
            let is_truncated = page.has_more && last.is_none();
            items.extend(page.items);
            match last.filter(|_| page.has_more) {
                None => return Ok(Listing { items, revision, is_truncated }),
                Some(last) if last <= after => {
                    let reason = format!("the page after '{after}' ends with '{last}'");
                    return Err(StoreError::Malformed { reason });
                }
                Some(last) => after = last,
            }
        }
        Err(StoreError::Malformed { reason: format!("more than {PAGES_MAX} pages") })
    }

    /// Waits up to `wait` for changes of the configuration after `revision`.
    pub(crate) async fn watch_config(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> Result<StoreUpdate, StoreError> {
        let page = self.watch(CONFIG_KEY, revision, wait).await?;
        let mut update = page.into_update(CONFIG_KEY, revision);
        // The prefix also covers keys that are longer than the configuration's.
        update.items.retain(|item| item.key.is_empty());
        Ok(update)
    }

    /// Waits up to `wait` for changes of the upstream records after `revision`.
    pub(crate) async fn watch_upstreams(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> Result<StoreUpdate, StoreError> {
        let page = self.watch(UPSTREAM_PREFIX, revision, wait).await?;
        Ok(page.into_update(UPSTREAM_PREFIX, revision))
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: Revision,
        wait: Duration,
    ) -> Result<WirePage, StoreError> {
        let (after, wait_ms) = (revision.number, wait.as_millis());
        let path = format!("/kv-watch?pathPrefix={prefix}&after={after}&waitMs={wait_ms}");
        let (era, body) = self.call(&path, wait + CALL_TIMEOUT).await?;
        // The same number stands for another change in another era.
        if era != revision.era {
            return Err(StoreError::HistoryGone { era });
        }
        parse(&body.unwrap_or_default())
    }

    /// Makes one call. Returns the store's era and the body, or no body for status 404.
    async fn call(&self, path: &str, limit: Duration) -> Result<(u64, Option<Bytes>), StoreError> {
        let response = self.client.get(path, limit).await.map_err(|source| match source {
            CallError::Oversized => StoreError::Malformed { reason: source.to_string() },
            source => StoreError::NoResponse { source },
        });
        let (parts, body) = response?.into_parts();
        let era = parse_era(&parts.headers)?;
        match parts.status {
            StatusCode::OK => Ok((era, Some(body))),
            StatusCode::NOT_FOUND => Ok((era, None)),
            StatusCode::GONE => Err(StoreError::HistoryGone { era }),
            status => Err(StoreError::Refused { status }),
        }
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::Malformed { reason: e.to_string() })
}

/// The era that a response names; 0 if it names none.
fn parse_era(headers: &HeaderMap) -> Result<u64, StoreError> {
    let Some(value) = headers.get(STORE_ERA) else { return Ok(0) };
    let era = value.to_str().ok().and_then(|text| text.parse().ok());
    era.ok_or_else(|| StoreError::Malformed { reason: format!("era {value:?} is no number") })
}

/// Sorts items under the operator's prefix; those with unknown keys are dropped.
fn split(items: Vec<WireItem>, revision: Revision) -> OperatorUpdate {
    let mut update = OperatorUpdate::default();
    update.config.revision = revision;
    for item in items {
        if let Some(zone) = item.key.strip_prefix(EVACUATION_PREFIX) {
            let (zone, is_evacuated) = (zone.to_owned(), !item.deleted);
            update.evacuations.push(EvacuationChange {
                zone,
                is_evacuated,
                revision: Revision { era: revision.era, number: item.revision },
            });
        } else if item.key == CONFIG_KEY {
            update.config.items.extend(decode(item, CONFIG_KEY, revision.era));
        }
    }
    update
}

/// Decodes an item of a response in `era`; `None` if its key does not begin with `prefix`.
fn decode(item: WireItem, prefix: &str, era: u64) -> Option<Item> {
    let key = item.key.strip_prefix(prefix)?.to_owned();
    let value = item.value.filter(|_| !item.deleted).map(|text| {
        let bytes = BASE64_STANDARD.decode(text)?;
        Ok(bytes.into())
    });
    Some(Item { key, value, revision: Revision { era, number: item.revision } })
}
