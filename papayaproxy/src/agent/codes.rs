//! Result codes of this slice: P2400 to P2499.

use crate::base::code::codes;

codes! {
    COMPLETED = 2400, Completed, 200, "The upstream responded and the whole response is attached.";
    UPSTREAM_REFUSED = 2401, NotRun, 503, "No connection to the upstream could be opened; nothing of the call was sent.";
    UPSTREAM_LOST = 2402, Unknown, 502, "The connection to the upstream was lost before its response was complete.";
    UPSTREAM_LATE = 2403, Unknown, 504, "The upstream did not respond before the deadline.";
    SERVICE_FOREIGN = 2405, NotRun, 503, "The upstream does not offer this service.";
    CALL_MALFORMED = 2406, NotRun, 400, "The method, path or a header of the call is not valid HTTP.";
    AGENT_FULL = 2407, NotRun, 503, "The agent has reached its limit of calls in progress.";
    AGENT_NOT_READY = 2409, NotRun, 503, "The agent has not yet confirmed that its fleet document is the newest.";
    CALL_CANCELLED = 2408, Unknown, 499, "The call was cancelled before its response was complete.";
}
