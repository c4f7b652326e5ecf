//! Log events of this slice: 1400 to 1499.

use crate::base::event::events;

events! {
    PEER_JOINED = 1400, "A process is heard of for the first time; peer, zone, incarnation.";
    PEER_REPLACED = 1401, "A process is replaced by a later incarnation; peer, incarnation.";
    PEER_LIVENESS = 1402, "A process is live, suspected or dead from now on; peer, liveness.";
    PEER_REFUSED = 1403, "A beat of an old incarnation is refused; peer, incarnation, code.";
    SUPERSEDED = 1404, "Another process runs under this name with a later incarnation; incarnation.";
    NODE_READY = 1405, "The process may serve; generation, peers, reason.";
    PLATFORM_FAILED = 1406, "A call to the platform failed; code, reason, pause.";
    WATCHING = 1407, "The process starts or stops to watch the platform; watching.";
    NODE_STARTED = 1408, "The process takes part in membership; name, zone, address, incarnation.";
}
