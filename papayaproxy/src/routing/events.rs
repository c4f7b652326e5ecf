//! Log events of this slice: 1500 to 1599.

use crate::base::event::events;

events! {
    ROUTE_CHOSEN = 1500, "An upstream was chosen for a request. Fields: request, upstream, reason, score_ms, candidates (at most 12, as name=score_ms/cached_tokens).";
    ROUTE_REFUSED = 1501, "No upstream was chosen for a request. Fields: request, code, retry_ms.";
    CIRCUIT_CHANGED = 1502, "The state of an upstream's circuit changed. Fields: upstream, state.";
    CACHE_GAP = 1503, "Cache events of an upstream were missed; the records of its cache are discarded. Fields: upstream.";
}
