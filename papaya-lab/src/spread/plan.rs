//! The size and the parts of one run.

use std::time::Duration;

/// The size and the parts of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// Availability zones.
    pub(crate) zones: usize,
    /// Entries of each zone.
    pub(crate) entries: usize,
    /// Agents of each zone.
    pub(crate) agents: usize,
    /// Workspaces of the document.
    pub(crate) workspaces: usize,
    /// Changes of each part.
    pub(crate) changes: u64,
    /// Time between two changes.
    pub(crate) spacing: Duration,
    /// Idle time that is measured.
    pub(crate) idle: Duration,
    /// Time for which the platform is down or stale.
    pub(crate) outage: Duration,
    /// Replacements of entries.
    pub(crate) replacements: u64,
    /// First port.
    pub(crate) port: u16,
}

impl Plan {
    /// Processes of the run.
    pub(crate) fn processes(&self) -> usize {
        self.zones * (self.entries + self.agents)
    }
}
