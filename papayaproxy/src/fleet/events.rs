//! Log events of this slice: 1300 to 1399.

use crate::base::event::events;

events! {
    DOCUMENT_TAKEN = 1300, "A document came into force; generation, digest, replaced, source, bytes.";
    DOCUMENT_REFUSED = 1301, "A document was refused and the one in force stays; code, source, detail.";
    DOCUMENT_RACE = 1302, "Two documents of one generation were published; generation, digest.";
    FETCH_STARTED = 1303, "A newer document is fetched from a peer; generation, peer.";
    FETCH_FAILED = 1304, "A peer did not give the document that it announced; generation, peer, reason.";
}
