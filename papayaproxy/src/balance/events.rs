//! Log events of this slice: 3300 to 3399.

use crate::base::event::events;

events! {
    SEAT_TAKEN = 3300, "A request got a seat at an upstream and is sent. Fields: request, upstream, running, others, limit, picture_ms, waited_ms, candidates, cold.";
    SEAT_REFUSED = 3301, "A request got no seat and is refused. Fields: request, service, reason, waiting, retry_ms.";
    RATE_LIMITED = 3304, "An upstream names a limit of requests a second for all entries together, another one, or none any more (absent). Fields: upstream, limit, before.";
    UPSTREAM_COLD = 3305, "An upstream counts as cold, or does so for longer: requests of all entries to it are limited. Fields: upstream, reason, cold_ms, limit (all entries, in any second), share (this entry; 0 if it sends none), interval_ms.";
    UPSTREAM_WARM = 3306, "The record of an upstream states that it is warm, earlier than expected. Fields: upstream, early_ms.";
    GROUP_CHANGED = 3303, "A lock-step group started or stopped running passes. Fields: group, open, members.";
    CIRCUIT_CHANGED = 3302, "The circuit of an upstream opened or closed. Fields: upstream, state.";
}
