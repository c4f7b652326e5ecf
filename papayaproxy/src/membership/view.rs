//! Snapshot of the live processes.

use super::report::LoadReport;
use crate::base::name::{Incarnation, Name};
use indexmap::IndexMap;
use std::time::Duration;

/// Live processes, as known to this one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Upstreams of the fleet document, by name.
    pub upstreams: IndexMap<Name, UpstreamView>,
    /// Live entries, including this process if it is one.
    pub entries: u32,
    /// Live peers of any role.
    pub peers: u64,
}

/// State of an upstream's agent. The default stands for an agent that is not known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamView {
    /// Whether the agent is live; false also if it is suspected.
    pub live: bool,
    /// Run of the agent; `None` if it is not known.
    pub incarnation: Option<Incarnation>,
    /// Last load report; `None` before the first.
    pub report: Option<LoadReport>,
    /// When the report arrived, by this process' monotonic clock.
    pub received: Duration,
}
