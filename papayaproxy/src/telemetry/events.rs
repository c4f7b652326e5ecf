//! Log events of this slice: 2200 to 2299.

use crate::base::event::events;

events! {
    PROCESS_STARTED = 2200, "A process is open. Fields: role, name, incarnation, address, ops.";
    PROCESS_STOPPING = 2201, "A process begins its graceful shutdown. Fields: role, name.";
    PROCESS_STOPPED = 2202, "A process has finished its work and ends. Fields: role, name.";
}
