//! Result codes of this slice: P2100 to P2199.

use crate::base::code::codes;

codes! {
    LEAVING_PLANNED = 2100, NotRun, 503, "The upstream accepts no new work during its planned stop for cleaning.";
    PROCESS_STOPPING = 2101, NotRun, 503, "The process is stopping and accepts no new work.";
    HOST_LEAVING = 2102, NotRun, 503, "The upstream's host is leaving, so the upstream accepts no new work.";
    UPSTREAM_CLOSED = 2103, NotRun, 503, "The fleet document closes the upstream to new work or no longer contains it.";
    INVARIANT_COUNT = 2110, Unknown, 500, "Invariant: more work has ended than has begun.";
}
