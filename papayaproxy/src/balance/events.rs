//! Log events of this slice: 3300 to 3399.

use crate::base::event::events;

events! {
    SEAT_TAKEN = 3300, "A request got a seat at an upstream and is sent. Fields: request, upstream, running, others, limit, picture_ms, waited_ms, candidates.";
    SEAT_REFUSED = 3301, "A request got no seat and is refused. Fields: request, service, reason, waiting, retry_ms.";
    RATE_LIMITED = 3304, "An upstream names a limit of requests a second for all entries together, another one, or none any more (absent). Fields: upstream, limit, before.";
    GROUP_CHANGED = 3303, "A lock-step group started or stopped running passes. Fields: group, open, members.";
    CIRCUIT_CHANGED = 3302, "The circuit of an upstream opened or closed. Fields: upstream, state.";
    RETRY_PROMISED = 3310, "A request is refused for want of capacity, and its client is told to return in a quarter of a second for which capacity is promised. Fields: request, service, retry_ms, promised, backlog, capacity, room, rate, free, broken, returns_ms, picture_ms.";
    RETURN_DECIDED = 3311, "A returning request got a seat or is refused; on_time tells whether it came when it was told. Fields: request, on_time, seated, reason.";
    OUTAGE_ENDED = 3312, "A lock-step group runs passes again after it had stopped. Fields: service, group, lasted_ms.";
}
