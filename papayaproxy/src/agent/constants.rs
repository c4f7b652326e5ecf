//! Limits and intervals of an agent.

use std::time::Duration;

/// Most calls in progress at one agent.
pub(crate) const CALLS_MAX: usize = 4096;

/// Interval between readings of the upstream's load report.
pub(crate) const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Time allowed for one reading of the load report.
pub(crate) const LOAD_LIMIT: Duration = Duration::from_millis(500);

/// Time allowed for a connection to the upstream.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Time after which an idle connection to the upstream is closed.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Part of the deadline that an agent leaves for its answer to reach the caller.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// Interval between looks at the reasons for leaving.
pub(crate) const LEAVING_INTERVAL: Duration = Duration::from_millis(100);

/// Wait between two looks at the work of a stopping agent.
pub(crate) const STOP_LOOK: Duration = Duration::from_millis(10);

/// Wait after a failed accept, so that a shortage of descriptors does not spin.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Largest reply of a call under a key, in bytes.
pub(crate) const KEYED_BYTES_MAX: usize = 4 << 20;

/// Time past its deadline for which the outcome of a call under a key is waited for.
pub(crate) const RUN_GRACE: Duration = Duration::from_secs(30);
