//! Result codes of an entry, P2300 to P2399.

use crate::base::code::codes;

codes! {
    PATH_UNKNOWN = 2300, NotRun, 404, "An entry does not serve the path; services are under /v1/services/{service}/.";
    WORKSPACE_MISSING = 2301, NotRun, 401, "The header papaya-workspace is missing or is not a valid name.";
    CREDENTIAL_WRONG = 2302, NotRun, 401, "The credential is missing or does not match the workspace.";
    SERVICE_UNKNOWN = 2303, NotRun, 404, "The fleet document does not define the service.";
    DEADLINE_INVALID = 2304, NotRun, 400, "The header papaya-deadline is not a duration from 1 ms to 600 s, such as 500ms.";
    PRIORITY_INVALID = 2305, NotRun, 400, "The header papaya-priority is not a number from 0 to 9.";
    BODY_OVERSIZED = 2306, NotRun, 413, "The request body is larger than 1 MiB.";
    BODY_BROKEN = 2307, NotRun, 400, "The request body ended early.";
    ENTRY_NOT_READY = 2309, NotRun, 503, "The entry has no fleet document yet, or has not yet confirmed that it is the newest.";
    REPLY_CORRUPT = 2310, Unknown, 502, "The reply's frames, length or checksum are inconsistent.";
    REPLY_LATE = 2311, Unknown, 504, "The reply was not complete before the deadline.";
    COMPLETION_MALFORMED = 2314, NotRun, 400, "The body of a model request is not a JSON object of the documented form.";
    MODEL_FOREIGN = 2315, NotRun, 400, "The service does not serve the model that the request names.";
    KEYS_MALFORMED = 2316, NotRun, 400, "A key request must be POST /v1/keys with {\"service\", \"count\"}, or GET or DELETE /v1/keys/{key}.";
    AGENT_FOREIGN = 2317, NotRun, 503, "The agent at the upstream's address serves another upstream.";
    UPSTREAM_OVERDUE = 2318, Unknown, 504, "The upstream sent no first byte within the expected time; the idempotent request was cancelled there and retried on another upstream.";
    CALLER_GONE = 2313, Unknown, 499, "The caller disconnected before its answer was complete.";
}
