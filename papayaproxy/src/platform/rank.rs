//! A replica's own interface, called from its own host: report, expert counts and orders.

use super::caller::{CallError, Caller};
use super::names::{COUNTS_PATH, LISTS_PATH, ORDER_PATH, REPORT_PATH};
use crate::ranks::message::{ArmedMap, RankStatus};
use crate::ranks::rank::{Order, OrderReply};
use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

/// Why the replica told nothing.
#[derive(Debug, Snafu)]
pub(crate) enum RankError {
    /// No answer.
    #[snafu(display("{source}"), context(false))]
    NoAnswer { source: CallError },
    /// It refused.
    #[snafu(display("the replica answered {status}"))]
    Refused { status: StatusCode },
    /// A body that cannot be read.
    #[snafu(display("the answer cannot be read: {source}"), context(false))]
    Malformed { source: serde_json::Error },
}

/// How often this rank's requests chose each expert, since the rank started.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    /// The group's epoch.
    pub(crate) epoch: u64,
    /// Counts, one set of layers after the other.
    pub(crate) chosen: Vec<u64>,
}

#[derive(Deserialize)]
struct WireReport {
    group: Option<WireGroup>,
    #[serde(default)]
    size: u16,
    #[serde(default)]
    busy: bool,
    /// Orders that have begun something.
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    running: u32,
    born: Option<u64>,
    pace: Option<f32>,
    #[serde(default)]
    step: u64,
    /// Version of the map in use, not the map.
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

/// The replica on this host.
pub(crate) struct OwnReplica {
    caller: Caller,
}

impl OwnReplica {
    /// The replica at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { caller: Caller::new(address) }
    }

    /// What the rank does; `None` for a replica that belongs to no group.
    ///
    /// # Errors
    /// No answer, or none that can be read.
    pub(crate) async fn report(&self, limit: Duration) -> Result<Option<RankStatus>, RankError> {
        let wire: WireReport = self.read(REPORT_PATH, limit).await?;
        let Some(group) = wire.group else { return Ok(None) };
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
            prepared: wire.prepared.map(version),
            armed,
            held: wire.held.map(|held| match held {
                WireStep::Plain(step) | WireStep::Full { step } => step,
            }),
        }))
    }

    /// How often the rank's requests chose each expert.
    ///
    /// # Errors
    /// No answer, or none that can be read.
    pub(crate) async fn counts(&self, limit: Duration) -> Result<Counts, RankError> {
        let wire: WireCounts = self.read(COUNTS_PATH, limit).await?;
        Ok(Counts { epoch: wire.epoch, chosen: wire.expert_counts })
    }

    /// The version of the map in use, and the experts of this rank by set.
    ///
    /// # Errors
    /// No answer, or none that can be read.
    pub(crate) async fn lists(&self, limit: Duration) -> Result<(u64, Vec<Vec<u16>>), RankError> {
        let wire: WireLists = self.read(LISTS_PATH, limit).await?;
        Ok(wire.mapping.map(|m| (m.version, m.experts)).unwrap_or_default())
    }

    /// Gives an order that takes effect only in `epoch` and while `expected` orders have begun.
    ///
    /// # Errors
    /// No answer: the order may have been carried out, or may be later.
    pub(crate) async fn order(
        &self,
        order: &Order,
        epoch: u64,
        expected: u64,
        limit: Duration,
    ) -> Result<OrderReply, CallError> {
        let (operation, version, step, mapping) = match order {
            Order::Prepare { version, map } => ("prepare", Some(*version), None, Some(map)),
            Order::Arm { version, step } => ("arm", Some(*version), Some(*step), None),
            Order::Disarm { version } => ("disarm", Some(*version), None, None),
            Order::Hold { step } => ("hold", None, Some(*step), None),
            Order::Go { step } => ("go", None, Some(*step), None),
        };
        let wire = WireOrder { operation, version, step, mapping, epoch, expected };
        // Numbers and short lists always have a JSON form.
        let body = serde_json::to_vec(&wire).unwrap_or_default();
        let (status, _) = self.caller.post(ORDER_PATH, Bytes::from(body), limit).await?;
        Ok(match status {
            StatusCode::ACCEPTED => OrderReply::Accepted,
            StatusCode::OK => OrderReply::Unchanged,
            other => OrderReply::Refused(other.as_u16()),
        })
    }

    async fn read<T: for<'a> Deserialize<'a>>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T, RankError> {
        let (status, body) = self.caller.get(path, limit).await?;
        if status != StatusCode::OK {
            return Err(RankError::Refused { status });
        }
        Ok(serde_json::from_slice(&body)?)
    }
}
