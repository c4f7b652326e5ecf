//! Result codes of this slice: P1400 to P1499.

use crate::base::code::codes;

codes! {
    SOCKET_FAILED = 1400, NotRun, 500, "The UDP socket for heartbeats cannot be opened.";
    INCARNATION_OLD = 1401, NotRun, 409, "The process has been replaced by a later incarnation.";
    PLATFORM_UNREACHABLE = 1402, NotRun, 503, "The platform cannot be reached.";
    PLATFORM_REFUSED = 1403, NotRun, 503, "The platform responded with an error status, such as one for too many calls.";
    PLATFORM_MALFORMED = 1404, NotRun, 502, "The platform's response cannot be decoded.";
    INCARNATION_LOWERED = 1405, NotRun, 500, "Invariant: an earlier incarnation replaced a later one.";
    FANOUT_EXCEEDED = 1406, NotRun, 500, "Invariant: the heartbeats of one tick went to more peers than allowed.";
}
