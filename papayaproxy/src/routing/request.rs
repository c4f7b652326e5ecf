//! Requests as seen by the router.

use crate::base::name::Name;
use crate::fleet::Role;
use std::time::{Duration, SystemTime};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Readings of both clocks for one decision.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Monotonic clock.
    pub now: Duration,
    /// Wall clock, compared with the leave times of the fleet document.
    pub wall: SystemTime,
}

/// Hash of a model name, version and adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelKey(pub(crate) u64);

impl ModelKey {
    /// Hashes a model name and version; `adapter` is `None` for the base model.
    pub fn new(model: &str, version: u32, adapter: Option<&str>) -> Self {
        let base = xxh3_64_with_seed(model.as_bytes(), u64::from(version));
        Self(adapter.map_or(base, |a| xxh3_64_with_seed(a.as_bytes(), base)))
    }
}

/// The properties of a request that routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service that the caller named.
    pub service: &'a Name,
    /// Requested model; `None` for a plain service.
    pub model: Option<ModelKey>,
    /// Required role of the engine; engines of the mixed role serve every role.
    pub role: Role,
    /// Workspace of the caller.
    pub workspace: &'a Name,
    /// Block hashes of the prompt, from [`super::prompt_blocks`].
    pub prefix: &'a [u64],
    /// Estimated tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Estimated tokens of the output; 0 for a plain service.
    pub output_tokens: u32,
    /// Time left until the deadline of the whole answer.
    pub time_left: Duration,
    /// Upstreams that must not be chosen, such as those of earlier attempts.
    pub excluded: &'a [Name],
}

/// Hash that identifies a workspace within the prefix index.
pub(crate) fn workspace_hash(workspace: &str) -> u32 {
    xxh3_64(workspace.as_bytes()) as u32
}
