//! Log events of this slice: 2200 to 2299.

use crate::base::event::events;

events! {
    PROCESS_STARTED = 2200, "A process has started. Fields: role, name, incarnation, address, ops.";
    PROCESS_STOPPING = 2201, "A process has begun its graceful stop. Fields: role, name.";
    PROCESS_STOPPED = 2202, "A process has stopped. Fields: role, name.";
}
