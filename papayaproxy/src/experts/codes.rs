//! Result codes of this slice: P1700 to P1799.

use crate::base::code::codes;

codes! {
    MAP_MALFORMED = 1700, NotRun, 500, "An expert map does not fit its group, or leaves an expert without a replica.";
    STEP_DIVERGED = 1701, Unknown, 500, "Two ranks of a group ran or scheduled one step on different expert maps. The process stops.";
    COMMIT_LATE = 1702, Unknown, 500, "A commit named a step that the rank had already begun. The process stops.";
    TERM_STALE = 1703, NotRun, 409, "The request carries a lower term than the rank has promised.";
    BASE_MISMATCH = 1704, NotRun, 409, "The request builds on another map than the rank runs.";
    STEP_PASSED = 1705, NotRun, 409, "The rank has already begun the named step.";
    MAP_UNSTAGED = 1706, NotRun, 409, "The rank has not staged the named map.";
    HOLD_UNKNOWN = 1707, NotRun, 409, "The rank holds no step for the named map, or it was released.";
    HOLD_BUSY = 1708, NotRun, 409, "The rank already holds a step for another map.";
}
