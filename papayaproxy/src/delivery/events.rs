//! Log events of this slice: 1200 to 1299.

use crate::base::event::events;

events! {
    KEYS_ISSUED = 1200, "An agent has issued idempotency keys: workspace, service, count.";
    KEY_STARTED = 1201, "A request starts under its key: sequence, workspace.";
    KEY_FINISHED = 1202, "A request under a key has ended: sequence, state.";
    KEY_REFUSED = 1203, "A key is refused: sequence, code.";
    KEY_REVOKED = 1204, "A key is revoked before its start: sequence, code.";
    REPLY_DROPPED = 1205, "A kept reply is dropped to make room: sequence.";
}
