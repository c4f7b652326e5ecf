//! Limits of this slice.

use std::time::Duration;

/// Largest event of an engine's stream, in bytes.
pub(crate) const EVENT_BYTES_MAX: usize = 64 << 10;

/// Longest text that is kept to go on with a stream elsewhere, in bytes.
pub(crate) const PRIOR_BYTES_MAX: usize = 1 << 20;

/// Times that one stream is resumed on its engine in a row without a new piece.
pub(crate) const RESUMES_IN_ROW_MAX: u32 = 2;

/// Times that one stream goes on at another replica.
pub(crate) const CONTINUATIONS_MAX: u32 = 4;

/// Time left below which a broken stream is not taken up again.
pub(crate) const RESUME_TIME_MIN: Duration = Duration::from_millis(10);
