//! Result codes of this slice: P1400 to P1499.

use crate::base::code::codes;

codes! {
    SOCKET_FAILED = 1400, NotRun, 500, "The UDP socket for heartbeats cannot be opened.";
    INCARNATION_OLD = 1401, NotRun, 409, "The process has been replaced by a later incarnation.";
    PLATFORM_UNREACHABLE = 1402, NotRun, 503, "The platform cannot be reached.";
    PLATFORM_REFUSED = 1403, NotRun, 503, "The platform answered with an error or over its budget.";
    PLATFORM_MALFORMED = 1404, NotRun, 502, "The platform's answer cannot be read.";
    INCARNATION_LOWERED = 1405, NotRun, 500, "Invariant: an old incarnation replaced a later one.";
    FANOUT_EXCEEDED = 1406, NotRun, 500, "Invariant: one beat went to more peers than allowed.";
}
