//! Result codes of this slice: P1600 to P1699.

use crate::base::code::codes;

codes! {
    DEADLINE_UNREACHABLE = 1600, NotRun, 503, "The request cannot finish before its deadline, given the queue; retry after the stated time.";
    QUEUE_FULL = 1601, NotRun, 429, "The queue of the workspace is full, or the expected wait too long; retry after the stated time.";
    DEADLINE_PASSED = 1602, NotRun, 504, "While the request was queued, the time left became too short for it to finish.";
    DISPLACED = 1603, NotRun, 503, "A more urgent request of the workspace replaced it in the full queue.";
    SHARES_EXCEEDED = 1604, NotRun, 500, "Invariant: more requests were admitted than the limit allows.";
    ANSWER_MISSING = 1605, NotRun, 500, "Invariant: an offered request was not answered exactly once.";
    RETRY_SPENT = 1606, NotRun, 503, "The retry budget of the workspace is spent.";
}
