//! Client for a replica's own interface on the same host: state of its rank, expert counts and
//! orders.

use super::caller::{CallError, HttpClient};
use super::names::{EXPERT_COUNTS_PATH, EXPERT_LISTS_PATH, ORDER_PATH, REPORT_PATH};
use crate::ranks::message::{ArmedMap, RankStatus};
use crate::ranks::rank::{Order, OrderReply};
use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

/// Why a read from the replica failed.
#[derive(Debug, Snafu)]
pub(crate) enum RankError {
    #[snafu(display("{source}"), context(false))]
    NoResponse { source: CallError },
    /// The status is not 200.
    #[snafu(display("the replica responded with {status}"))]
    Refused { status: StatusCode },
    #[snafu(display("invalid response from the replica: {source}"), context(false))]
    Malformed { source: serde_json::Error },
}

/// How often requests of this rank selected each expert since the rank started.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ExpertCounts {
    /// Epoch of the lock-step group in which the counts were taken.
    pub(crate) epoch: u64,
    /// One count per expert, one set of layers after the other.
    pub(crate) selections: Vec<u64>,
}

#[derive(Deserialize)]
struct WireReport {
    group: Option<WireGroup>,
    #[serde(default)]
    size: u16,
    #[serde(default)]
    busy: bool,
    /// Number of orders that have been started.
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    running: u32,
    /// Start of the replica in Unix milliseconds.
    born: Option<u64>,
    /// Slowdown against the published figures; 1 is usual.
    pace: Option<f32>,
    #[serde(default)]
    step: u64,
    /// Version of the expert map in use, not the map itself.
    #[serde(default)]
    mapping: u64,
    prepared: Option<WireVersion>,
    armed: Option<WireVersion>,
    held: Option<WireStep>,
}

#[derive(Deserialize)]
struct WireGroup {
    name: String,
    #[serde(default)]
    epoch: u64,
    #[serde(default)]
    rank: u16,
    #[serde(default)]
    state: String,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum WireVersion {
    Plain(u64),
    Full { version: u64, step: Option<u64> },
}

#[derive(Deserialize)]
#[serde(untagged)]
enum WireStep {
    Plain(u64),
    Full { step: u64 },
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireCounts {
    #[serde(default)]
    epoch: u64,
    expert_counts: Vec<u64>,
}

#[derive(Deserialize)]
struct WireLists {
    mapping: Option<WireMap>,
}

#[derive(Deserialize)]
struct WireMap {
    #[serde(default)]
    version: u64,
    experts: Vec<Vec<u16>>,
}

#[derive(Serialize)]
struct WireOrder<'a> {
    operation: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    step: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mapping: Option<&'a Vec<Vec<Vec<u16>>>>,
    epoch: u64,
    expected: u64,
}

/// Client for the replica on this host.
pub(crate) struct ReplicaClient {
    client: HttpClient,
}

impl ReplicaClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { client: HttpClient::new_named(address) }
    }

    /// Reads the state of the rank; `None` if the replica belongs to no group.
    ///
    /// # Errors
    /// The replica does not respond, refuses the read, or its response is malformed.
    pub(crate) async fn report(&self, limit: Duration) -> Result<Option<RankStatus>, RankError> {
        let wire: WireReport = self.get_json(REPORT_PATH, limit).await?;
        // A rank that its group does not have names no place in any map.
        let Some(group) = wire.group.filter(|g| g.rank < wire.size) else { return Ok(None) };
        let version = |w: WireVersion| match w {
            WireVersion::Plain(version) | WireVersion::Full { version, .. } => version,
        };
        let armed = wire.armed.map(|armed| match armed {
            WireVersion::Plain(version) => ArmedMap { version, step: None },
            WireVersion::Full { version, step } => ArmedMap { version, step },
        });
        Ok(Some(RankStatus {
            group: group.name.into(),
            epoch: group.epoch,
            rank: group.rank,
            size: wire.size,
            open: group.state == "open",
            busy: wire.busy,
            sequence: wire.sequence,
            running: wire.running,
            waiting: wire.waiting,
            started_ms: wire.born.unwrap_or_default(),
            slowdown: wire.pace.unwrap_or(1.0),
            step: wire.step,
            version: wire.mapping,
            copying: None,
            prepared: wire.prepared.map(version),
            armed,
            held: wire.held.map(|held| match held {
                WireStep::Plain(step) | WireStep::Full { step } => step,
            }),
        }))
    }

    /// Reads how often requests of the rank selected each expert.
    ///
    /// # Errors
    /// The replica does not respond, refuses the read, or its response is malformed.
    pub(crate) async fn expert_counts(&self, limit: Duration) -> Result<ExpertCounts, RankError> {
        let wire: WireCounts = self.get_json(EXPERT_COUNTS_PATH, limit).await?;
        Ok(ExpertCounts { epoch: wire.epoch, selections: wire.expert_counts })
    }

    /// Reads the version of the expert map in use and the experts of this rank by set.
    ///
    /// # Errors
    /// The replica does not respond, refuses the read, or its response is malformed.
    pub(crate) async fn expert_lists(
        &self,
        limit: Duration,
    ) -> Result<(u64, Vec<Vec<u16>>), RankError> {
        let wire: WireLists = self.get_json(EXPERT_LISTS_PATH, limit).await?;
        Ok(wire.mapping.map(|m| (m.version, m.experts)).unwrap_or_default())
    }

    /// Sends an order. The replica starts it only in `epoch`, and only if exactly `expected` orders
    /// have been started before.
    ///
    /// # Errors
    /// No response: the order may have been executed, or may be executed later.
    pub(crate) async fn send_order(
        &self,
        order: &Order,
        epoch: u64,
        expected: u64,
        limit: Duration,
    ) -> Result<OrderReply, CallError> {
        let (operation, version, step, mapping) = match order {
            Order::Prepare { version, map } => {
                ("prepare", Some(*version), None, Some(map.as_ref()))
            }
            Order::Arm { version, step } => ("arm", Some(*version), Some(*step), None),
            Order::Disarm { version } => ("disarm", Some(*version), None, None),
            Order::Hold { step } => ("hold", None, Some(*step), None),
            Order::Go { step } => ("go", None, Some(*step), None),
        };
        let wire = WireOrder { operation, version, step, mapping, epoch, expected };
        // Serialising numbers and short lists does not fail.
        let body = serde_json::to_vec(&wire).unwrap_or_default();
        let response = self.client.post(ORDER_PATH, Bytes::from(body), limit).await?;
        Ok(match response.status() {
            StatusCode::ACCEPTED => OrderReply::Accepted,
            StatusCode::OK => OrderReply::Unchanged,
            other => OrderReply::Refused(other.as_u16()),
        })
    }

    async fn get_json<T: for<'a> Deserialize<'a>>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T, RankError> {
        let response = self.client.get(path, limit).await?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(RankError::Refused { status });
        }
        Ok(serde_json::from_slice(response.body())?)
    }
}
