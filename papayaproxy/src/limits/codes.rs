//! Result codes of this slice: P1600 to P1699.

use crate::base::code::codes;

codes! {
    DEADLINE_UNREACHABLE = 1600, NotRun, 503, "The queue is too long for the deadline; retry after the stated time.";
    QUEUE_FULL = 1601, NotRun, 429, "Too many requests of the workspace wait; retry after the stated time.";
    DEADLINE_PASSED = 1602, NotRun, 504, "The deadline came so near while the request waited that it could not finish.";
    DISPLACED = 1603, NotRun, 503, "A more urgent request of the workspace took the place in the full queue.";
    SHARES_EXCEEDED = 1604, NotRun, 500, "Internal: more requests were admitted than the limit allows.";
    ANSWER_MISSING = 1605, NotRun, 500, "Internal: a request that was offered has no answer.";
    RETRY_SPENT = 1606, NotRun, 503, "The retry budget of the workspace is spent.";
}
