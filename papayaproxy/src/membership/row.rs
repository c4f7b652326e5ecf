//! What processes tell each other: beats with rows, and fetches of documents.

use super::report::{LoadReport, LoadedModel};
use crate::base::name::{Incarnation, Name};
use crate::fleet::{Ask, Piece, Version};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bits of a short id; few enough for six bytes on the wire.
const ID_BITS: u32 = 42;

/// What a process does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessRole {
    /// Takes callers' requests.
    #[default]
    Entry,
    /// Stands before an upstream.
    Agent,
}

/// One run of one process: its name, place and incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Its name; for an agent that of its upstream.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// What it does.
    pub role: ProcessRole,
    /// UDP address of its heartbeats.
    pub address: SocketAddr,
    /// The run.
    pub incarnation: Incarnation,
}

impl Process {
    /// Short id of the run, by which later rows name it.
    pub(crate) fn id(&self) -> u64 {
        xxh3_64_with_seed(self.name.as_bytes(), self.incarnation.0) >> (u64::BITS - ID_BITS)
    }
}

/// The changing figures of a load report, in few bytes.
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
    /// Shortens a report.
    pub(crate) fn of(report: &LoadReport) -> Self {
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

    /// The report again, with the loaded models as last told.
    pub(crate) fn report(&self, loaded: &[LoadedModel]) -> LoadReport {
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

/// The changing part of a process' state.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessUpdate {
    /// Short id of the run.
    pub id: u64,
    /// Rises with each beat of the run.
    pub beat: u32,
    /// Its load; agents only.
    pub load: Option<Load>,
}

/// The whole description of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessState {
    /// The process.
    pub process: Process,
    /// The changing part.
    pub pulse: ProcessUpdate,
    /// Models that its engine has ready.
    pub loaded: Vec<LoadedModel>,
}

/// State of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Row {
    /// The changing part, for those who know the run.
    Update(ProcessUpdate),
    /// The whole description.
    Full(Box<ProcessState>),
}

impl Row {
    /// Length on the wire, in bytes.
    pub(crate) fn size(&self) -> usize {
        postcard::to_stdvec(self).map_or(usize::MAX, |b| b.len())
    }
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub sender: Row,
    /// The sender's document in force.
    pub version: Option<Version>,
    /// Seconds since the platform last confirmed that document to anyone.
    pub age: u32,
    /// Whether it answers a beat; an answer is not answered.
    pub reply: bool,
    /// Other processes that the sender has heard of.
    pub rows: Vec<Row>,
}

/// A datagram between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// Asks for pieces of a document.
    Ask(Ask),
    /// A piece of a document.
    Piece(Piece),
}
