//! Log events of this slice: 2000 to 2099.

use crate::base::event::events;

events! {
    STREAM_RESUMED = 2000, "A broken stream is resumed on its engine: upstream, from.";
    STREAM_CONTINUED = 2001, "A broken stream is continued on another replica: upstream, from.";
    STREAM_FAILED = 2002, "A broken stream can be neither resumed nor continued: upstream, from, code.";
}
