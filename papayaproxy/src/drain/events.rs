//! Log events of this slice: 2100 to 2199.

use crate::base::event::events;

events! {
    LEAVING = 2100, "New work is refused from now on; calls and streams count the work in progress. Fields: reason, calls, streams.";
    MOVING = 2101, "Streams in progress are moved to other replicas. Fields: streams.";
    DRAINED = 2102, "No work is in progress any more; seconds counts from the start of leaving. Fields: seconds.";
    RETURNED = 2103, "New work is accepted again.";
    OVERDUE = 2104, "Work is still in progress at the stop limit. Fields: calls, streams.";
}
