//! Defaults and limits of this slice.

use std::time::Duration;

/// Time after its issue in which a key may start.
pub(crate) const START_LIFE: Duration = Duration::from_secs(600);

/// Least time for which a finished key's outcome is kept.
pub(crate) const RETENTION: Duration = Duration::from_secs(600);

/// Keys that are remembered at a time.
pub(crate) const KEYS_MAX: usize = 200_000;

/// Keys that are remembered of one workspace at a time.
pub(crate) const WORKSPACE_KEYS_MAX: usize = 50_000;

/// Bytes of replies that are kept.
pub(crate) const REPLY_BYTES_MAX: usize = 16 << 20;

/// Keys that one request may ask for.
pub(crate) const ISSUE_COUNT_MAX: u32 = 256;

/// Grain in which issued keys are counted.
pub(crate) const WINDOW_GRAIN: Duration = Duration::from_secs(1);

/// Attempts of one request that may have reached an agent, the first included.
pub(crate) const ATTEMPTS_MAX: u32 = 3;

/// Attempts of one request of which no byte was written, or that a leaving upstream refused.
pub(crate) const UNSENT_MAX: u32 = 8;

/// Time left below which no further attempt is made.
pub(crate) const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(5);

/// Longest text of an idempotency key, in bytes.
pub(crate) const KEY_TEXT_MAX: usize = 512;
