//! Log events of the gateway: 3000 to 3099.

use crate::base::event::events;

events! {
    REQUEST_TAKEN = 3000, "A request was accepted and its route is known. Fields: request, route, version, config_ms, kind, left_ms, back.";
    REQUEST_ANSWERED = 3001, "A request was answered. Fields: request, status, code, upstream, sends, took_ms.";
    SEND_ENDED = 3002, "An attempt at an upstream failed; began_ms is absent if no head of an answer had arrived, and content is the same for requests of the same service, method, target, workspace and body. Fields: request, upstream, end, detail, took_ms, began_ms, workspace, parts, content.";
    STREAM_ENDED = 3003, "A stream ended; reason states why a stream that is cut was not resumed, stopping whether the entry stops. Fields: request, upstream, events, sends, outcome, reason, stopping, took_ms.";
    STREAM_MOVED = 3004, "A stream continues at another upstream. Fields: request, upstream, after, detail.";
    REPEAT_DENIED = 3005, "The retry budget allows no further attempt. Fields: request, service; requests (of this entry in the window), repeats (of this entry, that may have arrived in the window or may still arrive), outstanding (of these, those that may still arrive), entries (that the slack is divided by; absent while their number is unknown), slack (this entry's part).";
    CALLER_LEFT = 3006, "The caller closed its connection before the response was complete. Fields: request, took_ms.";
    READY_CHANGED = 3007, "The readiness of the entry changed. Fields: ready, reason.";
    GATEWAY_STARTED = 3008, "The entry started. Fields: name, zone, incarnation, address, peers.";
    GATEWAY_RELOADED = 3009, "The settings were reloaded. Fields: seeds, outcome.";
    GATEWAY_STOPPING = 3010, "The graceful stop began. Fields: requests, grace_ms.";
    GATEWAY_STOPPED = 3011, "The entry stopped. Fields: requests.";
    BUFFERS_FULL = 3012, "A request was refused because the buffered bodies reach their limit. Fields: error.";
    REQUEST_UNFINISHED = 3013, "A stopping entry exits while the request is in progress; only the first 50 are logged. upstream is absent if it was not sent, stopping_ms is the time since SIGTERM. Fields: request, route, upstream, age_ms, stopping_ms.";
    STOP_REFUSAL = 3014, "A stopping entry refused a request that it may not finish before it exits. longest_ms is the longest that it may take, at most limit_ms, its time limit. Fields: request, route, longest_ms, limit_ms, left_ms.";
    HANDOVER_FAILED = 3015, "A stream at a silent upstream was tried at another one without success; it stays, and is tried again while the upstream is silent. Fields: request, reason.";
    HANDOVER_ENDED = 3016, "A silent upstream went on with its stream, so the attempt at another one was given up. Fields: request, upstream.";
    REPEAT_GRANTED = 3017, "The retry budget allows a further attempt. Fields: as for 3005; repeats includes this one.";
    READER_CUT = 3018, "A client that reads slowly was cut, since what is held for clients nears its limit; request is its last one, held in bytes, oldest_ms the age of its oldest undelivered bytes. Fields: request, code, held, oldest_ms, total, limit.";
    CLIENT_MEMORY = 3019, "What is held for clients has come near its limit, or is well below it again; held and limit in bytes, clients is the number of those for which bytes are held. Fields: short, held, limit, clients.";
}
