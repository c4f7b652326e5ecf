//! Log events of this slice: 3000 to 3099.

use crate::base::event::events;

events! {
    REQUEST_TAKEN = 3000, "A request came in and its route is known. Fields: request, route, version, config_ms, kind, left_ms, back.";
    REQUEST_ANSWERED = 3001, "A request has its answer. Fields: request, status, code, upstream, sends, took_ms.";
    SEND_ENDED = 3002, "A send did not bring the answer. Fields: request, upstream, end, detail, took_ms.";
    STREAM_ENDED = 3003, "A stream has ended. Fields: request, upstream, events, sends, outcome, took_ms.";
    STREAM_MOVED = 3004, "A stream goes on at another upstream. Fields: request, upstream, after, detail.";
    REPEAT_DENIED = 3005, "The budget allows no repeat. Fields: request, service.";
    CALLER_LEFT = 3006, "The caller closed its connection before its answer was whole. Fields: request, took_ms.";
    READY_CHANGED = 3007, "The entry says from now on that it is ready, or that it is not. Fields: ready, reason.";
    GATEWAY_STARTED = 3008, "The entry is open. Fields: name, zone, incarnation, address, peers.";
    GATEWAY_RELOADED = 3009, "The settings were read again. Fields: seeds, outcome.";
    GATEWAY_STOPPING = 3010, "The entry begins its graceful stop. Fields: requests, grace_ms.";
    GATEWAY_STOPPED = 3011, "The entry has ended its work. Fields: requests.";
}
