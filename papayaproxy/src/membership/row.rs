//! Messages between processes: heartbeats with rows, and transfers of document chunks.

use super::report::{LoadReport, LoadedModel};
use crate::base::name::{Incarnation, Name};
use crate::fleet::{Chunk, ChunkRequest, Version};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bits of a short id, which fits a varint of six bytes.
const ID_BITS: u32 = 42;

/// Role of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessRole {
    /// Accepts requests from callers.
    #[default]
    Entry,
    /// Forwards calls to one upstream.
    Agent,
}

/// One run of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Process name; an agent has the name of its upstream.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Entry or agent.
    pub role: ProcessRole,
    /// UDP address for heartbeats.
    pub address: SocketAddr,
    /// Identifies the run; a later run has a higher value.
    pub incarnation: Incarnation,
}

impl Process {
    /// Short id of the run, used instead of the name in [`Row::Update`].
    pub(crate) fn id(&self) -> u64 {
        xxh3_64_with_seed(self.name.as_bytes(), self.incarnation.0) >> (u64::BITS - ID_BITS)
    }
}

/// Load report without the loaded models, in units that encode compactly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub(crate) sequence: u64,
    pub(crate) age_ms: u32,
    pub(crate) queued: u32,
    pub(crate) running: u32,
    pub(crate) slots: u32,
    pub(crate) waiting_tokens: u32,
    pub(crate) kv_permille: u16,
    pub(crate) step_us: u32,
}

impl Load {
    pub(crate) fn from_report(report: &LoadReport) -> Self {
        Self {
            sequence: report.sequence,
            age_ms: report.age.as_millis() as u32,
            queued: report.queued,
            running: report.running,
            slots: report.slots,
            waiting_tokens: report.waiting_tokens,
            kv_permille: report.kv_permille,
            step_us: report.step.as_micros() as u32,
        }
    }

    /// Rebuilds the report, with `loaded` from the last full state of the process.
    pub(crate) fn report_with(&self, loaded: &[LoadedModel]) -> LoadReport {
        LoadReport {
            sequence: self.sequence,
            age: Duration::from_millis(self.age_ms.into()),
            queued: self.queued,
            running: self.running,
            slots: self.slots,
            waiting_tokens: self.waiting_tokens,
            kv_permille: self.kv_permille,
            step: Duration::from_micros(self.step_us.into()),
            loaded: loaded.to_vec(),
        }
    }
}

/// The part of a process' state that changes with each heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessUpdate {
    /// Short id of the run; see [`Process`].
    pub id: u64,
    /// Sequence number of the heartbeat within the run.
    pub sequence: u32,
    /// Load of the upstream; `None` for entries and before the first report.
    pub load: Option<Load>,
}

/// Full state of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessState {
    /// Name, zone, role, address and incarnation.
    pub process: Process,
    /// The part that changes with each heartbeat.
    pub update: ProcessUpdate,
    /// Models ready in the upstream's engine; empty for entries.
    pub loaded: Vec<LoadedModel>,
}

/// State of one process, in full or abbreviated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Row {
    /// Abbreviated; ignored by receivers that do not know the run's id.
    Update(ProcessUpdate),
    /// Full state.
    Full(Box<ProcessState>),
}

impl Row {
    /// Encoded length in bytes.
    pub(crate) fn encoded_len(&self) -> usize {
        postcard::to_stdvec(self).map_or(usize::MAX, |b| b.len())
    }
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// State of the sender.
    pub sender: Row,
    /// Version of the sender's document in force; `None` before the first.
    pub version: Option<Version>,
    /// Seconds since the platform last confirmed that document to any process.
    pub age: u32,
    /// Whether it is a reply, which is not replied to in turn.
    pub is_reply: bool,
    /// States of other processes.
    pub rows: Vec<Row>,
}

/// A datagram between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// Requests chunks of a document.
    ChunkRequest(ChunkRequest),
    /// A chunk of a document.
    Chunk(Chunk),
}
