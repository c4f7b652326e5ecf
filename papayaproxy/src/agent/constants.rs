//! Limits, timeouts and intervals of an agent.

use std::time::Duration;

/// Most calls in progress at one agent.
pub(crate) const CALLS_MAX: usize = 4096;

/// Interval at which the upstream's load report is read.
pub(crate) const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for reading the load report once.
pub(crate) const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for opening a connection to the upstream.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection to the upstream is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Part of a call's remaining time that is reserved for the response to reach the caller.
pub(crate) const RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// Interval at which the reasons for draining are checked.
pub(crate) const DRAIN_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a stopping agent checks whether its work has ended.
pub(crate) const STOP_INTERVAL: Duration = Duration::from_millis(10);

/// Delay after a failed accept; prevents a busy loop while file descriptors are exhausted.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Largest response body of a call under a key, in bytes.
pub(crate) const KEYED_RESPONSE_BYTES_MAX: usize = 4 << 20;

/// Time after its deadline for which a call under a key may still run, so that its outcome is
/// recorded.
pub(crate) const RUN_GRACE: Duration = Duration::from_secs(30);
