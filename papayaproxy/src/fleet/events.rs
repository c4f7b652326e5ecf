//! Log events of this slice: 1300 to 1399.

use crate::base::event::events;

events! {
    DOCUMENT_TAKEN = 1300, "A document came into force; generation, digest, replaced, source, bytes.";
    DOCUMENT_REFUSED = 1301, "A document was refused and the current one stays in force; code, source, detail.";
    DOCUMENT_RACE = 1302, "Two documents with the same generation were published; generation, digest.";
    FETCH_STARTED = 1303, "The fetch of a newer document from a peer started; generation, peer.";
    FETCH_FAILED = 1304, "The announced document could not be fetched from a peer; generation, peer, reason.";
}
