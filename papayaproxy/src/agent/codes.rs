//! Result codes of this slice: P2400 to P2499.

use crate::base::code::codes;

codes! {
    COMPLETED = 2400, Completed, 200, "The upstream answered and the whole answer is attached.";
    UPSTREAM_REFUSED = 2401, NotRun, 503, "The upstream accepts no connection; nothing of the call was sent to it.";
    UPSTREAM_LOST = 2402, Unknown, 502, "The upstream closed the connection before its answer was whole.";
    UPSTREAM_LATE = 2403, Unknown, 504, "The upstream did not answer before the deadline.";
    SERVICE_FOREIGN = 2405, NotRun, 503, "The upstream does not offer this service.";
    CALL_MALFORMED = 2406, NotRun, 400, "The method, path or a header of the call is not valid HTTP.";
    AGENT_FULL = 2407, NotRun, 503, "The agent has as many calls in progress as it may.";
    AGENT_NOT_READY = 2409, NotRun, 503, "The agent does not know yet whether its fleet document is the newest.";
    CALL_CANCELLED = 2408, Unknown, 499, "The caller went away before the answer was whole.";
}
