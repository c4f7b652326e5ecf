//! Limits of this slice.

use std::time::Duration;

/// Maximum size of an event in an engine's stream, in bytes.
pub(crate) const EVENT_BYTES_MAX: usize = 64 << 10;

/// Maximum size of the text that is stored to continue a stream on another replica, in bytes.
pub(crate) const PRIOR_BYTES_MAX: usize = 1 << 20;

/// Maximum number of times that a stream is resumed on its engine without a new piece in between.
pub(crate) const RESUMES_IN_ROW_MAX: u32 = 2;

/// Maximum number of times that a stream is continued on another replica.
pub(crate) const CONTINUATIONS_MAX: u32 = 4;

/// Minimum time left until the deadline for resuming or continuing a broken stream.
pub(crate) const RESUME_TIME_MIN: Duration = Duration::from_millis(10);
