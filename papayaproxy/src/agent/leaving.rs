//! The agent's planned stops: what is in progress, and when streams are handed over.

use crate::base::clock::Clock;
use crate::base::code::Code;
use crate::drain::{Drain, DrainSettings, Phase, Reason, Step, Work};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The work in progress of one agent.
pub(crate) struct Leaving {
    drain: Mutex<Drain>,
    clock: Clock,
    /// Whether streams are to be handed over.
    moving: watch::Sender<bool>,
}

/// A piece of work in progress. Dropping it ends it.
pub(crate) struct Piece {
    leaving: Arc<Leaving>,
    work: Work,
}

impl Leaving {
    pub(crate) fn new(settings: DrainSettings, clock: Clock) -> Self {
        let drain = Mutex::new(Drain::new(settings));
        Self { drain, clock, moving: watch::Sender::new(false) }
    }

    /// Takes a piece of work, unless `reason` or an earlier signal says that none is taken.
    pub(crate) fn begin(self: &Arc<Self>, reason: Option<Reason>) -> Result<Piece, Code> {
        let mut drain = self.lock();
        drain.set_reason(reason, self.clock.now());
        drain.begin(Work::Call)?;
        Ok(Piece { leaving: self.clone(), work: Work::Call })
    }

    /// Takes note of `reason` and decides about the work in progress.
    pub(crate) fn check(&self, reason: Option<Reason>) -> Step {
        let mut drain = self.lock();
        let now = self.clock.now();
        drain.set_reason(reason, now);
        let step = drain.step(now);
        if step == Step::MoveStreams {
            self.moving.send_replace(true);
        } else if drain.phase() == Phase::Serving {
            self.moving.send_if_modified(std::mem::take);
        }
        step
    }

    /// Whether new work is refused.
    pub(crate) fn is_leaving(&self) -> bool {
        self.lock().phase() != Phase::Serving
    }

    /// Pieces of work in progress.
    pub(crate) fn in_progress(&self) -> u32 {
        let drain = self.lock();
        drain.in_progress(Work::Call) + drain.in_progress(Work::Stream)
    }

    fn lock(&self) -> MutexGuard<'_, Drain> {
        self.drain.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Piece {
    /// Notes that the work is a stream, which another replica can go on with.
    pub(crate) fn become_stream(&mut self) {
        self.leaving.lock().reclassify(self.work, Work::Stream);
        self.work = Work::Stream;
    }

    /// Waits until the work is to be handed over; for ever if it is no stream.
    pub(crate) async fn moved(&self) {
        let mut moving = self.leaving.moving.subscribe();
        if self.work != Work::Stream || moving.wait_for(|m| *m).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        self.leaving.lock().end(self.work);
    }
}
