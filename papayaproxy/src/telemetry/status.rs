//! Status of a process, served on `/status`.

use serde::{Deserialize, Serialize};

/// Status of a process; JSON on `/status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the process.
    pub name: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Availability zone of the process.
    pub zone: String,
    /// Incarnation as 16 hexadecimal digits.
    pub incarnation: String,
    /// Generation of the fleet document in force; 0 before the first document.
    pub generation: u64,
    /// Digest of the fleet document in force.
    pub digest: String,
    /// Seconds since the platform or a peer last confirmed the document.
    pub document_age: f64,
    /// Whether the process takes new work.
    pub ready: bool,
    /// Whether the process is stopping or its upstream is leaving.
    pub leaving: bool,
    /// Calls in progress.
    pub calls: u64,
    /// Peers considered live.
    pub peers: u64,
    /// Upstreams considered live.
    pub upstreams: u64,
    /// Availability zones that the operator evacuates; left out if there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<EvacuationStatus>,
}

/// An evacuated availability zone, as one process sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// Name of the zone.
    pub zone: String,
    /// Calls of the process that are still in progress there.
    pub calls: u64,
}

impl Status {
    /// Whether the process is leaving and has no calls in progress.
    pub fn is_drained(&self) -> bool {
        self.leaving && self.calls == 0
    }
}
