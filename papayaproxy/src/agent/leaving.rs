//! Drain state of the agent: its work in progress and the signal to move streams elsewhere.

use crate::base::clock::Clock;
use crate::base::code::Code;
use crate::drain::{Drain, DrainSettings, Phase, Reason, Step, Work};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Drain state of one agent, shared by its calls.
pub(crate) struct AgentDrain {
    drain: Mutex<Drain>,
    clock: Clock,
    /// Whether streams in progress must move to other replicas.
    must_move: watch::Sender<bool>,
}

/// Counts one call or stream as in progress until it is dropped.
pub(crate) struct WorkGuard {
    drain: Arc<AgentDrain>,
    work: Work,
}

impl AgentDrain {
    pub(crate) fn new(settings: DrainSettings, clock: Clock) -> Self {
        let drain = Mutex::new(Drain::new(settings));
        Self { drain, clock, must_move: watch::Sender::new(false) }
    }

    /// Admits a call; fails with the code of the reason for draining, which is `reason` or an
    /// earlier stop signal.
    pub(crate) fn begin(self: &Arc<Self>, reason: Option<Reason>) -> Result<WorkGuard, Code> {
        let mut drain = self.lock();
        drain.set_reason(reason, self.clock.now());
        drain.begin(Work::Call)?;
        Ok(WorkGuard { drain: self.clone(), work: Work::Call })
    }

    /// Applies `reason` and returns what has to be done about the work in progress.
    pub(crate) fn next_step(&self, reason: Option<Reason>) -> Step {
        let mut drain = self.lock();
        let now = self.clock.now();
        drain.set_reason(reason, now);
        let step = drain.step(now);
        if step == Step::MoveStreams {
            self.must_move.send_replace(true);
        } else if drain.phase() == Phase::Serving {
            self.must_move.send_if_modified(std::mem::take);
        }
        step
    }

    /// Whether new work is refused.
    pub(crate) fn is_leaving(&self) -> bool {
        self.lock().phase() != Phase::Serving
    }

    /// Calls and streams in progress.
    pub(crate) fn in_progress(&self) -> u32 {
        let drain = self.lock();
        drain.in_progress(Work::Call) + drain.in_progress(Work::Stream)
    }

    fn lock(&self) -> MutexGuard<'_, Drain> {
        self.drain.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WorkGuard {
    /// Counts the call as a stream, which another replica can continue.
    pub(crate) fn mark_stream(&mut self) {
        self.drain.lock().reclassify(self.work, Work::Stream);
        self.work = Work::Stream;
    }

    /// Waits until the stream must move to another replica; never returns for other calls.
    pub(crate) async fn move_requested(&self) {
        let mut must_move = self.drain.must_move.subscribe();
        if self.work != Work::Stream || must_move.wait_for(|m| *m).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.drain.lock().end(self.work);
    }
}
