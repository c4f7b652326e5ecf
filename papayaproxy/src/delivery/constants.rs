//! Defaults and limits of this slice.

use std::time::Duration;

/// Time after its issue within which a key may start.
pub(crate) const START_LIFE: Duration = Duration::from_secs(600);

/// Minimum time for which the outcome of a finished key is stored.
pub(crate) const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of keys issued within the time for which an agent stores them.
pub(crate) const KEYS_MAX: usize = 200_000;

/// The same for one workspace.
pub(crate) const WORKSPACE_KEYS_MAX: usize = 50_000;

/// Maximum size of all stored replies, in bytes.
pub(crate) const REPLY_BYTES_MAX: usize = 16 << 20;

/// Maximum number of keys issued by one request.
pub(crate) const ISSUE_COUNT_MAX: u32 = 256;

/// Width of a bucket in the count of issued keys.
pub(crate) const WINDOW_BUCKET: Duration = Duration::from_secs(1);

/// Maximum number of attempts of one request that may have reached an agent, including the first.
pub(crate) const ATTEMPTS_MAX: u32 = 3;

/// Maximum number of attempts of one request of which no byte was written, or that a leaving
/// upstream refused.
pub(crate) const UNCOUNTED_MAX: u32 = 8;

/// Minimum time left until the deadline for a further attempt.
pub(crate) const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(5);

/// Maximum length of an idempotency key as text, in bytes.
pub(crate) const KEY_TEXT_MAX: usize = 512;
