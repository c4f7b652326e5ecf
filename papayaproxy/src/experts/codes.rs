//! Result codes of expert placement: P1700 to P1799.

use crate::base::code::codes;

codes! {
    MAP_MALFORMED = 1700, NotRun, 500, "An expert map does not fit its group, or leaves an expert without a replica.";
    STEP_DIVERGED = 1701, Unknown, 500, "Two ranks of a group ran or scheduled one step on different expert maps. The process stops.";
    COMMIT_LATE = 1702, Unknown, 500, "A commit arrived for a step that the rank had already begun. The process stops.";
    TERM_STALE = 1703, NotRun, 409, "The request carries a lower term than the rank has promised.";
    BASE_MISMATCH = 1704, NotRun, 409, "The request is based on a different map than the one in force at the rank.";
    STEP_PASSED = 1705, NotRun, 409, "The rank has already begun the requested step.";
    MAP_UNSTAGED = 1706, NotRun, 409, "The rank has not staged the requested map.";
    HOLD_UNKNOWN = 1707, NotRun, 409, "The rank does not have the requested hold, or has already released it.";
    HOLD_BUSY = 1708, NotRun, 409, "The rank already holds a step for another map.";
}
