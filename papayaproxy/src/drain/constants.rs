//! Defaults of this slice.

use std::time::Duration;

/// Time after the start of leaving from which long streams are handed to other replicas.
pub(crate) const MOVE_AFTER: Duration = Duration::from_secs(20);

/// Time for which a stopping process goes on answering, so that those who send to it have heard.
pub(crate) const LINGER: Duration = Duration::from_secs(3);

/// Longest time that a stopping process waits for work in progress; longer than any deadline.
pub(crate) const STOP_LIMIT: Duration = Duration::from_secs(620);
