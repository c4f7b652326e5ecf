//! Time limits of orders, and limits of the weight load rate.

use std::time::Duration;

/// Time after which a sent order has either taken effect or never will.
pub const ORDER_TTL: Duration = Duration::from_secs(5);

/// Age past which a decided but unsent order is dropped.
pub const DECISION_MAX_AGE: Duration = Duration::from_secs(2);

/// Window over which the highest number of live members divides the zone's rate.
pub const MEMBER_COUNT_WINDOW: Duration = Duration::from_secs(60);

/// Size of the burst, as the time in which the agent's rate yields it.
pub const BURST_WINDOW: Duration = Duration::from_millis(500);

/// Fraction of the burst that prefetches leave to requests.
pub const REQUEST_RESERVE: f64 = 0.5;
