//! Log events of this slice: 2100 to 2199.

use crate::base::event::events;

events! {
    LEAVING = 2100, "New work is refused from now on: reason, calls and streams in progress.";
    MOVING = 2101, "Streams in progress are handed to other replicas: streams.";
    DRAINED = 2102, "No work is in progress any more: seconds since leaving began.";
    RETURNED = 2103, "New work is taken again.";
    OVERDUE = 2104, "Work is still in progress when the time for leaving is over: calls, streams.";
}
