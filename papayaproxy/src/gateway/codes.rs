//! Result codes of this slice: P3000 to P3099.

use crate::base::code::codes;

codes! {
    CONFIG_MISSING = 3000, NotRun, 503, "The entry has no configuration yet.";
    CONFIG_STALE = 3001, NotRun, 503, "The entry cannot tell whether its configuration is the newest, so it accepts no keys and denies no routes.";
    ROUTE_MISSING = 3002, NotRun, 404, "No route of this host begins the path.";
    KEY_UNKNOWN = 3003, NotRun, 401, "The key is missing or is no workspace's.";
    BODY_LARGE = 3004, NotRun, 413, "The request's body is larger than the configuration allows.";
    BODY_CUT = 3005, NotRun, 400, "The request's body ended early.";
    NO_SEAT = 3006, NotRun, 503, "No upstream has room in time; Retry-After says when to come back.";
    NOT_OFFERED = 3007, NotRun, 503, "The time was over before the request could be sent.";
    TURNED_DOWN = 3008, NotRun, 503, "Each upstream that was asked said that it did not run the request.";
    STOPPING = 3009, NotRun, 503, "The entry is stopping; another takes the request.";
    ANSWER_LOST = 3010, Unknown, 502, "The upstream's answer was lost or is no answer; the request may have run.";
    ANSWER_LATE = 3011, Unknown, 504, "The answer was not there in time; the request may have run.";
    STREAM_CUT = 3012, Unknown, 502, "A stream ended before its last event and could not go on elsewhere.";
}
