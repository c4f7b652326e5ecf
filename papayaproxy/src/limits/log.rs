//! Log lines of the limits.

use super::admission::AdmissionRefusal;
use super::events;
use crate::base::name::Name;

impl AdmissionRefusal {
    /// Writes the log line of the refusal.
    pub fn log(&self, request: &str, workspace: &Name) {
        tracing::info!(
            event = events::ADMISSION_REFUSED,
            request,
            %workspace,
            code = %self.code,
            retry_ms = self.retry_after.as_millis() as u64,
            "request refused"
        );
    }
}

/// Writes the log line of a changed capacity; `entries` is the number that limits are divided by.
pub fn log_capacity(capacity: u32, entries: u32) {
    tracing::info!(event = events::CAPACITY_CHANGED, capacity, entries, "capacity changed");
}

/// Writes the log line of a retry that was not made for want of budget.
pub fn log_retry_denied(request: &str, workspace: &Name) {
    tracing::info!(event = events::RETRY_DENIED, request, %workspace, "retry denied");
}
