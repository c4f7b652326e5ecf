//! Result codes of this slice: P1800 to P1899.

use crate::base::code::codes;

codes! {
    FENCE_REVERSED = 1800, Unknown, 500, "A fencing number did not increase; the process stops.";
    ORDER_STALE = 1801, NotRun, 409, "A later order for the same target was already sent.";
    ORDER_DONE = 1802, Completed, 200, "The order has already taken effect; nothing was sent.";
    ORDER_BUSY = 1803, NotRun, 503, "Another order to the engine is in progress.";
    ORDER_EARLY = 1804, NotRun, 503, "Orders from a predecessor of the agent may still arrive; the agent sends none yet.";
    AGENT_SUPERSEDED = 1805, NotRun, 409, "The engine has accepted orders from a later agent; this one sends no more.";
    ORDER_EXPIRED = 1806, NotRun, 409, "The order was decided too long ago to be sent.";
}
