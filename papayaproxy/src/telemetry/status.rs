//! What a process tells of itself on `/status`.

use serde::{Deserialize, Serialize};

/// State of a process, as JSON on `/status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the process.
    pub name: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Its availability zone.
    pub zone: String,
    /// Its incarnation, 16 hexadecimal digits.
    pub incarnation: String,
    /// Generation of the fleet document in force; 0 before the first.
    pub generation: u64,
    /// Digest of the fleet document in force.
    pub digest: String,
    /// Seconds since the platform or a peer last confirmed the document.
    pub document_age: f64,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether it is stopping, or its upstream is leaving.
    pub leaving: bool,
    /// Calls in progress.
    pub calls: u64,
    /// Peers that it holds to be live.
    pub peers: u64,
    /// Upstreams that it holds to be live.
    pub upstreams: u64,
}

impl Status {
    /// Whether a leaving process has no call left.
    pub fn is_drained(&self) -> bool {
        self.leaving && self.calls == 0
    }
}
