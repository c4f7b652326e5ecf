//! A monotonic clock; decision code takes its readings as plain durations.

use std::time::Duration;
use tokio::time::Instant;

/// A monotonic clock whose readings are durations since its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at zero. Follows tokio's paused time in tests.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
