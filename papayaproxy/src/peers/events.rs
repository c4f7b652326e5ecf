//! Log events of this slice: 3200 to 3299.

use crate::base::event::events;

events! {
    PEER_HEARD = 3200, "An entry is heard of for the first time, or again. Fields: peer, zone, live.";
    PEER_SILENT = 3201, "An entry is no longer heard of. Fields: peer, live.";
    PULL_FAILED = 3202, "A transfer from a peer failed. Fields: peer, what, error.";
    DATAGRAM_REFUSED = 3203, "A datagram is no message of ours. Fields: peer, error.";
}
