//! Result codes of this slice: P1500 to P1599.

use crate::base::code::codes;

codes! {
    SERVICE_UNKNOWN = 1500, NotRun, 404, "The fleet document does not define the service.";
    NO_CANDIDATE = 1501, NotRun, 503, "No upstream is currently available for the request; retry later.";
    TOO_LATE = 1502, NotRun, 503, "No upstream can finish the request before its deadline.";
    LEAVING_CHOSEN = 1503, NotRun, 500, "Invariant: a leaving upstream was chosen.";
    CREDIT_CROSSED = 1504, NotRun, 500, "Invariant: a cached prefix of another workspace was matched.";
    TICKET_FOREIGN = 1505, Unknown, 500, "Invariant: an attempt was settled twice or had not been sent.";
}
