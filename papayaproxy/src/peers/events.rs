//! Log events of this slice: 3200 to 3299.

use crate::base::event::events;

events! {
    PEER_HEARD = 3200, "A peer has become live: its first heartbeat has arrived, or the first after it was down. Fields: peer, zone, live.";
    PEER_SILENT = 3201, "No heartbeat of a peer has arrived in time; it counts as down. Fields: peer, live.";
    PULL_FAILED = 3202, "A fetch from a peer failed. Fields: peer, what, error.";
    DATAGRAM_REFUSED = 3203, "A datagram could not be decoded. Fields: peer, error.";
}
