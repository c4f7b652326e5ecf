//! The live view of a process.

use super::report::LoadReport;
use crate::base::name::{Incarnation, Name};
use indexmap::IndexMap;
use std::time::Duration;

/// What a process holds to be live.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Upstreams of the document by name.
    pub upstreams: IndexMap<Name, UpstreamView>,
    /// Live entries, this process included if it is one.
    pub entries: u32,
    /// Live peers of any role.
    pub peers: u64,
}

/// What is known of an upstream's agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamView {
    /// Whether its agent is heard of.
    pub live: bool,
    /// The run of its agent.
    pub incarnation: Option<Incarnation>,
    /// Its last load report.
    pub report: Option<LoadReport>,
    /// When the report arrived, on this process' monotonic clock.
    pub received: Duration,
}
