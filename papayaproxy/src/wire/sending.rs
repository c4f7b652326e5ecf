//! Decides between writing and withdrawing a queued call; exactly one of the two can succeed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

const QUEUED: u8 = 0;
const WRITTEN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// State of one queued call, shared by the caller and the link's writer.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendState {
    state: Arc<AtomicU8>,
}

impl SendState {
    /// Claims the call for the writer, before any byte of it is written. `false` if the caller has
    /// withdrawn it.
    pub(crate) fn claim(&self) -> bool {
        self.transition(WRITTEN)
    }

    /// Withdraws the call. `false` if bytes of it may have been written.
    pub(crate) fn withdraw(&self) -> bool {
        self.transition(WITHDRAWN)
    }

    fn transition(&self, next: u8) -> bool {
        let ordering = Ordering::SeqCst;
        let changed = self.state.compare_exchange(QUEUED, next, ordering, ordering);
        changed.is_ok() || changed == Err(next)
    }
}
