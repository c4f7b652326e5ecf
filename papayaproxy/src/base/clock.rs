//! The monotonic clock that decisions are given as plain numbers.

use std::time::Duration;
use tokio::time::Instant;

/// A monotonic clock. Its readings are durations since it was started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at zero. Follows tokio's paused time in tests.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Time since the clock was started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
