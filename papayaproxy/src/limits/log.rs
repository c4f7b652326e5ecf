//! Log lines of admission and retry budgets.

use super::admission::AdmissionRefusal;
use super::events;
use crate::base::name::Name;

impl AdmissionRefusal {
    /// Logs the refusal.
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

/// Logs a changed capacity; `entries` is the number that fleet-wide limits are divided by.
pub fn log_capacity(capacity: u32, entries: u32) {
    tracing::info!(event = events::CAPACITY_CHANGED, capacity, entries, "capacity changed");
}

/// Logs a retry that was not made because the budget is spent.
pub fn log_retry_denied(request: &str, workspace: &Name) {
    tracing::info!(event = events::RETRY_DENIED, request, %workspace, "retry denied");
}
