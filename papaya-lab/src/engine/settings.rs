//! What an engine stand-in can be told.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// A model that is ready to serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Its name.
    pub model: String,
    /// Its version.
    pub version: u32,
    /// Adapters that are ready with it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Sequences that run at a time.
    pub slots: usize,
    /// Sequences that may wait; one more is answered 503.
    pub queue: usize,
    /// Duration of a decode step of one sequence.
    pub step: Duration,
    /// What each further sequence adds to a step.
    pub step_each: Duration,
    /// What each uncached prompt token adds to a step.
    pub prefill_each: Duration,
    /// Prompt tokens that one step prefills at most.
    pub prefill_chunk: u32,
    /// Prompt tokens that the prefix cache holds, over all workspaces.
    pub cache_tokens: u32,
    /// How old the load report is when it is read.
    pub load_lag: Duration,
    /// How late cache events become readable.
    pub event_lag: Duration,
    /// Cache events that are lost, of 1000.
    pub event_gaps: u16,
    /// How long a stream without a reader goes on, and a finished one is kept.
    pub linger: Duration,
    /// Whether an order with an old fencing number is refused.
    pub fencing: bool,
    /// How long it takes to load a model or adapter.
    pub load_time: Duration,
    /// Models that are ready from the start.
    pub loaded: Vec<LoadedModel>,
    /// Seed of the lost cache events.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            slots: 16,
            queue: 1024,
            step: Duration::from_millis(10),
            step_each: Duration::from_micros(200),
            prefill_each: Duration::from_micros(20),
            prefill_chunk: 512,
            cache_tokens: 64 * 1024,
            load_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(500),
            event_gaps: 20,
            linger: Duration::from_secs(3),
            fencing: true,
            load_time: Duration::from_millis(500),
            loaded: vec![LoadedModel {
                model: "assistant".to_owned(),
                version: 1,
                adapters: Vec::new(),
            }],
            seed: 1,
        }
    }
}

/// Faults that a test switches on and off while the engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// No step ends while it is set.
    pub stall: bool,
    /// Each new completion is answered by this status; 0 for none.
    pub error: u16,
    /// Each stream's connection is cut after this many of its pieces; 0 for never.
    pub cut: u32,
}
