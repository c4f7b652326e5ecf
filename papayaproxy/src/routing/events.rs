//! Log events of this slice: 1500 to 1599.

use crate::base::event::events;

events! {
    ROUTE_CHOSEN = 1500, "An upstream was chosen. Fields: request, upstream, reason, score_ms, candidates (at most 12, as name=score_ms/cached_tokens).";
    ROUTE_REFUSED = 1501, "No upstream was chosen. Fields: request, code, retry_ms.";
    CIRCUIT_CHANGED = 1502, "The circuit of an upstream changed. Fields: upstream, state.";
    CACHE_GAP = 1503, "Cache events were missed; what was known of the upstream's cache is dropped. Fields: upstream.";
}
