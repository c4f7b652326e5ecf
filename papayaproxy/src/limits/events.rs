//! Log events of this slice: 1600 to 1699.

use crate::base::event::events;

events! {
    ADMISSION_REFUSED = 1600, "Admission refused a request before it ran. Fields: request, workspace, code, retry_ms.";
    CAPACITY_CHANGED = 1601, "The capacity of this process changed. Fields: capacity, entries.";
    RETRY_DENIED = 1602, "A retry was not made because the retry budget is spent. Fields: request, workspace.";
}
