//! Log events of this slice: 2400 to 2499.

use crate::base::event::events;

events! {
    CALL_ENDED = 2400, "An agent has ended a call. Fields: request, peer, call, service, workspace, code, ms.";
    LINK_REFUSED = 2401, "An agent refused a link. Fields: peer, code; the text states the error.";
    LOAD_UNREADABLE = 2402, "The upstream's load report cannot be read. Fields: upstream; written for the first failure of a series.";
}
