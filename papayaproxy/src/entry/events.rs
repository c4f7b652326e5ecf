//! Log events of an entry, 2300 to 2399.

use crate::base::event::events;

events! {
    REQUEST_ENDED = 2300, "An entry answered a request. Fields: request, workspace, service, upstream, outcome, code, attempts, ms.";
    ATTEMPT_FAILED = 2301, "An attempt failed. Fields: request, upstream, code, written, next.";
    LINK_OPENED = 2302, "A link to an agent was opened. Fields: address, agent, incarnation.";
    LINK_FAILED = 2303, "A link to an agent could not be opened. Fields: address, code; the text says why.";
}
