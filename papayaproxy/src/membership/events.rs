//! Log events of this slice: 1400 to 1499.

use crate::base::event::events;

events! {
    PEER_JOINED = 1400, "A process was discovered; peer, zone, incarnation.";
    PEER_REPLACED = 1401, "A process was replaced by a later incarnation; peer, incarnation.";
    PEER_LIVENESS = 1402, "The liveness of a process changed to live, suspected or dead; peer, liveness.";
    PEER_REFUSED = 1403, "State of an old incarnation was refused; peer, incarnation, code.";
    SUPERSEDED = 1404, "Another process with this name and a later incarnation is running; incarnation.";
    NODE_READY = 1405, "The process may serve; generation, peers, reason.";
    PLATFORM_FAILED = 1406, "A platform call failed; code, reason, pause.";
    WATCHING = 1407, "The process started or stopped watching the platform; watching.";
    NODE_STARTED = 1408, "Membership was started; name, zone, address, incarnation.";
}
