//! Result codes of the gateway: P3000 to P3099.

use crate::base::code::codes;

codes! {
    CONFIG_MISSING = 3000, NotRun, 503, "The entry has no configuration yet.";
    CONFIG_STALE = 3001, NotRun, 503, "The entry cannot verify that its configuration is current, so it neither accepts keys nor reports a route as missing.";
    ROUTE_MISSING = 3002, NotRun, 404, "No route matches the host and path.";
    KEY_UNKNOWN = 3003, NotRun, 401, "The key is missing or belongs to no workspace.";
    BODY_LARGE = 3004, NotRun, 413, "The request body exceeds the configured limit.";
    BODY_CUT = 3005, NotRun, 400, "The request body ended early or did not arrive in time.";
    NO_SEAT = 3006, NotRun, 503, "No upstream has capacity in time; Retry-After states when to retry.";
    NOT_OFFERED = 3007, NotRun, 503, "The deadline passed before the request could be sent.";
    TURNED_DOWN = 3008, NotRun, 503, "Every upstream that was tried refused the request without running it.";
    STOPPING = 3009, NotRun, 503, "The entry is stopping; retry at another entry.";
    ANSWER_LOST = 3010, Unknown, 502, "The upstream's response was lost or invalid; the request may have run.";
    ANSWER_LATE = 3011, Unknown, 504, "The upstream did not respond in time; the request may have run.";
    STREAM_CUT = 3012, Unknown, 502, "A stream ended before its last event and could not be resumed at another upstream.";
    BUFFERS_FULL = 3013, NotRun, 503, "The bodies that the entry holds reach its limit; retry later.";
    EVENT_MISSING = 3014, Unknown, 502, "A stream skipped an event; it is resumed at another upstream if the route allows it.";
    PART_BLOCKED = 3015, NotRun, 503, "A part of the prompt crashes the upstreams that answer it; requests with it are not sent.";
    EVENT_FOREIGN = 3016, Unknown, 502, "A stream contains what is no event of it: text without an event id, or an id that came before; it is resumed at another upstream if the route allows it.";
    COMMENTS_ENDLESS = 3017, Unknown, 502, "A stream brings comments without an event; it is resumed at another upstream if the route allows it.";
    REQUEST_BLOCKED = 3019, NotRun, 503, "Requests of this content crash the upstreams that run them; they are not sent.";
    READER_SLOW = 3018, Unknown, 502, "The client read its answer so slowly that its connection was closed to free memory; the request has run. Only logged, since the client reads no code.";
}
