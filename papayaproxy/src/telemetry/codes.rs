//! Result codes of this slice: P2200 to P2299.

use crate::base::code::codes;

codes! {
    LISTEN_FAILED = 2200, NotRun, 500, "An address cannot be bound; another process may be using it.";
    CONTROL_FAILED = 2203, NotRun, 500, "The control thread cannot be started.";
    METRICS_FAILED = 2202, NotRun, 500, "The metrics exporter cannot be set up.";
}
