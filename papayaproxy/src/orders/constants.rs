//! Defaults of this slice.

use std::time::Duration;

/// Time after which an order that was sent has either taken effect or never will.
pub const ORDER_LIFE: Duration = Duration::from_secs(5);

/// Age past which an order that was decided but not yet sent is dropped.
pub const DECISION_LIFE: Duration = Duration::from_secs(2);

/// Time for which the highest number of members seen bounds the share.
pub const MEMBERS_MEMORY: Duration = Duration::from_secs(60);

/// Time whose rate may be drawn at once.
pub const BURST_TIME: Duration = Duration::from_millis(500);

/// Part of the burst that prefetches leave to requests.
pub const REQUEST_RESERVE: f64 = 0.5;
