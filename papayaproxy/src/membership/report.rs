//! Load reports of upstreams.

use crate::base::name::Name;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What an upstream reports of its load, as read by its agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Rises with each report of one engine run.
    pub sequence: u64,
    /// How old the figures were when the agent read them.
    pub age: Duration,
    /// Requests that wait in the upstream.
    pub queued: u32,
    /// Requests that run in the upstream.
    pub running: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Tokens of prompts that wait for prefill.
    pub waiting_tokens: u32,
    /// Used part of the KV cache, from 0 to 1000.
    pub kv_permille: u16,
    /// Mean duration of a decode step.
    pub step: Duration,
    /// Models that are loaded and ready.
    pub loaded: Vec<LoadedModel>,
}

/// A model that an engine has ready.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model's name.
    pub model: Name,
    /// Its version.
    pub version: u32,
    /// Adapters that are ready with it.
    pub adapters: Vec<Name>,
}
