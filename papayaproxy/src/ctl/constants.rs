//! Bounds and defaults of the shell tool.

use std::time::Duration;

/// Time in which a process has to answer.
pub(crate) const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Largest answer that is read, in bytes.
pub(crate) const ANSWER_BYTES_MAX: usize = 2 << 20;

/// Processes that are asked at a time.
pub(crate) const ASKED_AT_ONCE: usize = 64;
