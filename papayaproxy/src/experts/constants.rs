//! Defaults of this slice.

use std::time::Duration;

/// Time after which an unanswered request of the agreement is sent again.
pub const RESEND_AFTER: Duration = Duration::from_millis(20);

/// Time in which all ranks must promise a hold; past it the hold is released.
pub const HOLD_WAIT: Duration = Duration::from_millis(200);

/// Time without word from the lead after which the next rank takes over.
pub const LEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a deposed lead waits before it may lead again, times one more than its index.
pub const DEPOSED_WAIT: Duration = Duration::from_millis(150);

/// Steps by which a held step lies ahead of the ranks at least.
pub const HOLD_STEPS_MIN: u64 = 2;

/// Share of the horizon in which the load of the fast average is smoothed.
pub const FAST_TIME: Duration = Duration::from_secs(60);

/// Smoothing time of the slow average.
pub const SLOW_TIME: Duration = Duration::from_secs(1800);
