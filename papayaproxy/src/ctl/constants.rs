//! Limits of the command-line tool.

use std::time::Duration;

/// Timeout of an HTTP request to a process.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest HTTP response body that is read, in bytes.
pub(crate) const RESPONSE_BYTES_MAX: usize = 2 << 20;

/// Most processes that are queried concurrently.
pub(crate) const QUERIES_MAX: usize = 64;
