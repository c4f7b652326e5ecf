//! Log events of this slice: 1200 to 1299.

use crate::base::event::events;

events! {
    KEYS_ISSUED = 1200, "An agent issued idempotency keys: workspace, service, count.";
    KEY_STARTED = 1201, "A request with a key started: sequence, workspace.";
    KEY_FINISHED = 1202, "A request with a key ended: sequence, state.";
    KEY_REFUSED = 1203, "A request with a key was refused: sequence, code.";
    KEY_REVOKED = 1204, "A key was revoked before it started: sequence, code.";
    REPLY_DROPPED = 1205, "A stored reply was dropped because of the size limit: sequence.";
}
