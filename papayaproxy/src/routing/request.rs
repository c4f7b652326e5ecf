//! What the router is told of a request.

use crate::base::name::Name;
use crate::fleet::Role;
use std::time::{Duration, SystemTime};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The reading of both clocks at which a decision is made.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Reading of the monotonic clock.
    pub now: Duration,
    /// The date, for the document's leave times.
    pub wall: SystemTime,
}

/// Names a model with its version and adapter in one number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelKey(pub(crate) u64);

impl ModelKey {
    /// Makes the key of a model, version and adapter.
    pub fn new(model: &str, version: u32, adapter: Option<&str>) -> Self {
        let base = xxh3_64_with_seed(model.as_bytes(), u64::from(version));
        Self(adapter.map_or(base, |a| xxh3_64_with_seed(a.as_bytes(), base)))
    }
}

/// A request as the router sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service that the caller named.
    pub service: &'a Name,
    /// The model wanted; `None` for a plain service.
    pub model: Option<ModelKey>,
    /// Which part of the work the engine is to do.
    pub role: Role,
    /// The workspace that asks.
    pub workspace: &'a Name,
    /// Block hashes of the prompt, from [`super::prompt_blocks`].
    pub prefix: &'a [u64],
    /// Expected tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected tokens of the output.
    pub output_tokens: u32,
    /// Time left for the whole answer.
    pub time_left: Duration,
    /// Upstreams that were tried already.
    pub excluded: &'a [Name],
}

/// Identifies a workspace within the prefix index.
pub(crate) fn workspace_tag(workspace: &str) -> u32 {
    xxh3_64(workspace.as_bytes()) as u32
}
