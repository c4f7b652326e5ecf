//! Log events of this slice: 3300 to 3399.

use crate::base::event::events;

events! {
    SEAT_TAKEN = 3300, "A request got a seat at an upstream and is sent. Fields: request, upstream, running, others, limit, picture_ms, waited_ms, candidates, cold.";
    SEAT_REFUSED = 3301, "A request got no seat and is refused. Fields: request, service, reason, waiting, retry_ms.";
    RATE_LIMITED = 3304, "An upstream names a limit of requests a second for all entries together, another one, or none any more (absent). Fields: upstream, limit, before.";
    UPSTREAM_COLD = 3308, "An upstream counts as cold, or does so for longer: requests of all entries to it are limited. Fields: upstream, reason, cold_ms, limit (all entries, in any second), share (this entry; 0 if it sends none), interval_ms.";
    UPSTREAM_WARM = 3309, "The record of an upstream states that it is warm, earlier than expected. Fields: upstream, early_ms.";
    GROUP_CHANGED = 3303, "A lock-step group started or stopped running passes. Fields: group, open, members.";
    ZONE_EVACUATED = 3305, "The upstreams of an availability zone get no new requests, since the operator evacuates it. upstreams is 0 if none is known there; requests are those of this entry that are still in progress there. Fields: zone, upstreams, requests.";
    ZONE_READMITTED = 3306, "The evacuation of an availability zone ended, and its upstreams may get requests. requests are those that were in progress throughout. Fields: zone, upstreams, requests, evacuated_ms.";
    ALL_ZONES_EVACUATED = 3307, "All known upstreams are in evacuated zones, so that all requests are refused. Fields: upstreams, zones.";
    OVER_CAPACITY = 3320, "More requests arrive than a service can serve on time, and the request is refused; `fraction` of those of its priority and workspace are admitted. Fields: request, service, priority, workspace, capacity and demand (requests a second, of all entries), fraction.";
    CIRCUIT_CHANGED = 3302, "The circuit of an upstream opened or closed. Fields: upstream, state.";
    RETRY_PROMISED = 3310, "A request is refused for want of capacity, and its client is told to return in a quarter of a second for which capacity is promised. Fields: request, service, retry_ms, promised, backlog, capacity, room, rate, free, broken, returns_ms, picture_ms.";
    RETURN_DECIDED = 3311, "A returning request got a seat or is refused; on_time tells whether it came when it was told. Fields: request, on_time, seated, reason.";
    OUTAGE_ENDED = 3312, "A lock-step group runs passes again after it had stopped. Fields: service, group, lasted_ms.";
}
