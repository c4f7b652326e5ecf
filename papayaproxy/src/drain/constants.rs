//! Defaults of the drain settings.

use std::time::Duration;

/// Time from the start of leaving after which streams in progress are moved to other replicas.
pub(crate) const MOVE_AFTER: Duration = Duration::from_secs(20);

/// Time for which a stopping process keeps answering, so that its callers learn of the stop.
pub(crate) const LINGER: Duration = Duration::from_secs(3);

/// Longest time for which a stopping process waits for work in progress; longer than any request
/// deadline.
pub(crate) const STOP_LIMIT: Duration = Duration::from_secs(620);
