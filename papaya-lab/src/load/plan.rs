//! What a run of the load tool sends.

use std::net::SocketAddr;
use std::time::Duration;

/// A workspace with the credential that callers present.
#[derive(Clone, Debug)]
pub struct Credential {
    /// The workspace's name.
    pub workspace: String,
    /// The credential.
    pub token: String,
}

/// Calls of a model.
#[derive(Clone, Debug)]
pub struct ModelTarget {
    /// The service.
    pub service: String,
    /// The model behind it.
    pub model: String,
    /// Version that answers must be of; 0 for any one.
    pub version: u32,
    /// Pieces of each answer.
    pub tokens: u32,
    /// Length of each prompt, in bytes.
    pub prompt: usize,
    /// Prompts of a workspace share one of so many beginnings.
    pub prefixes: u32,
}

/// Calls of a plain service.
#[derive(Clone, Debug)]
pub struct PlainTarget {
    /// The service.
    pub service: String,
    /// Whether each call gets an issued idempotency key first.
    pub keyed: bool,
}

/// A run of the load tool.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entries, taken in turn.
    pub entries: Vec<SocketAddr>,
    /// Workspaces, taken at random.
    pub workspaces: Vec<Credential>,
    /// Calls a second.
    pub rate: f64,
    /// How long calls are sent.
    pub duration: Duration,
    /// Calls of a model, if any.
    pub model: Option<ModelTarget>,
    /// Calls of a plain service, if any.
    pub plain: Option<PlainTarget>,
    /// Share of calls that go to the model, from 0 to 1.
    pub model_share: f64,
    /// Deadline that each call states.
    pub deadline: Duration,
    /// Calls in progress at most; those beyond it are counted as skipped.
    pub in_flight: usize,
    /// Seed of the random choices.
    pub seed: u64,
    /// Begins each call's reference, so that runs can be told apart.
    pub label: String,
}
