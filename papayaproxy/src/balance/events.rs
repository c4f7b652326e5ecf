//! Log events of this slice: 3300 to 3399.

use crate::base::event::events;

events! {
    SEAT_TAKEN = 3300, "A request is sent. Fields: request, upstream, running, others, limit, picture_ms, waited_ms, candidates.";
    SEAT_REFUSED = 3301, "A request is refused. Fields: request, service, reason, waiting, retry_ms.";
    GROUP_CHANGED = 3303, "A lock-step group runs passes again, or no longer. Fields: group, open, members.";
    CIRCUIT_CHANGED = 3302, "An upstream's circuit has opened or closed. Fields: upstream, state.";
}
