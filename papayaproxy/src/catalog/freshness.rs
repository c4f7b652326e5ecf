//! Proof of how fresh the configuration is.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Time since the host started, with the time that it was suspended.
///
/// The proof has to age while a host sleeps, which the usual monotonic clock leaves out.
pub(crate) fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

/// The latest time at which the configuration in force was known to be the store's newest.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Freshness {
    proven: Option<Duration>,
}

impl Freshness {
    /// Takes a proof that holds for the time `at`.
    pub(crate) fn prove(&mut self, at: Duration) {
        self.proven = self.proven.max(Some(at));
    }

    /// Age of the proof; `None` before the first.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.proven.map(|at| now.saturating_sub(at))
    }

    /// Whether the proof is younger than `limit`.
    pub(crate) fn within(&self, limit: Duration, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
