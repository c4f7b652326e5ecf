//! Load reports from upstreams.

use crate::base::name::Name;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Load of an upstream, as read by its agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Sequence number of the report within one engine run.
    pub sequence: u64,
    /// Age of the figures when the agent read them.
    pub age: Duration,
    /// Requests queued in the upstream.
    pub queued: u32,
    /// Requests running in the upstream.
    pub running: u32,
    /// Most requests that the upstream runs concurrently.
    pub slots: u32,
    /// Prompt tokens waiting for prefill.
    pub waiting_tokens: u32,
    /// Used share of the KV cache in thousandths, 0 to 1000.
    pub kv_permille: u16,
    /// Mean duration of one decode step.
    pub step: Duration,
    /// Models loaded and ready to serve.
    pub loaded: Vec<LoadedModel>,
}

/// A model loaded in an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: Name,
    /// Version of the model.
    pub version: u32,
    /// Adapters ready for use with the model.
    pub adapters: Vec<Name>,
}
