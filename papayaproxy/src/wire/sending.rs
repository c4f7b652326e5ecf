//! Whether a queued call was written or withdrawn; exactly one of the two can happen.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

const QUEUED: u8 = 0;
const WRITTEN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// State of one queued call, shared by the caller and the link's writer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sending {
    state: Arc<AtomicU8>,
}

impl Sending {
    /// Claims the call for the writer, before any byte of it is written. `false` if the caller has
    /// withdrawn it.
    pub(crate) fn write(&self) -> bool {
        self.become_or_is(WRITTEN)
    }

    /// Withdraws the call. `false` if bytes of it may have been written.
    pub(crate) fn withdraw(&self) -> bool {
        self.become_or_is(WITHDRAWN)
    }

    fn become_or_is(&self, next: u8) -> bool {
        let ordering = Ordering::SeqCst;
        let changed = self.state.compare_exchange(QUEUED, next, ordering, ordering);
        changed.is_ok() || changed == Err(next)
    }
}
