//! Timeouts, thresholds and limits of expert placement.

use std::time::Duration;

/// Interval at which the lead sends unanswered requests again.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(20);

/// Time within which all ranks must promise a hold; otherwise the lead releases it.
pub const HOLD_TIMEOUT: Duration = Duration::from_millis(200);

/// Time without a message from the lead after which the next rank takes over.
pub const LEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// Time that a lead waits after it was deposed before it may lead again, multiplied by one more
/// than its index.
pub const DEPOSED_BACKOFF: Duration = Duration::from_millis(150);

/// Least number of steps between the ranks' next step and the held one.
pub const HOLD_STEPS_MIN: u64 = 2;

/// Time constant of the fast average of popularity.
pub const FAST_TIME_CONSTANT: Duration = Duration::from_secs(60);

/// Time constant of the slow average of popularity.
pub const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(1800);

/// Planning horizon at equal weights: the time over which gains are weighed against the cost of
/// moves.
pub const HORIZON: Duration = Duration::from_secs(900);

/// Largest factor by which the weights may scale [`HORIZON`], before the result is clamped.
pub const HORIZON_FACTOR_MAX: f64 = 16.0;

/// Number of later windows for which an incomplete window stays open.
pub const WINDOW_LAG_MAX: u64 = 3;

/// Windows that must be counted before the first plan.
pub const WARMUP_WINDOWS: u32 = 6;

/// Number of snapshots of the fast average that are kept.
pub const SNAPSHOTS_MAX: usize = 24;

/// Total variation distance up to which popularity counts as unchanged.
pub const SETTLED_DISTANCE: f32 = 0.08;

/// Weight of the newest report in a rank's smoothed time per token.
pub const TOKEN_TIME_GAIN: f64 = 0.25;

/// Time per token, relative to the median, above which a rank becomes a straggler.
pub const STRAGGLER_ENTER: f64 = 1.15;

/// Time per token, relative to the median, below which a rank is no longer a straggler.
pub const STRAGGLER_LEAVE: f64 = 1.08;

/// Slots on the least loaded ranks that a search considers as targets.
pub const TARGET_SLOTS: usize = 32;

/// Least number of ranks that a search considers as targets, starting with the least loaded.
pub const TARGET_RANKS_MIN: usize = 4;

/// Number of most loaded ranks whose experts a search may replicate on the slowest rank, replacing
/// a replica there.
pub const SOURCE_RANKS: usize = 6;

/// Number of squarings that compute the power of the search's potential: 2^4 = 16.
pub const POTENTIAL_SQUARINGS: u32 = 4;

/// Increase of a load's cost for each load that its rank has above the mean, as a fraction.
pub const RANK_COST_WEIGHT: f64 = 0.5;

/// Least reduction of the search's potential per load.
pub const SEARCH_GAIN_MIN: f64 = 1e-4;

/// Largest number of changes that a search makes in one layer.
pub const SEARCH_CHANGES_MAX: usize = 96;

/// Least expected reduction of a layer's skew for which moves are made.
pub const LAYER_GAIN_MIN: f64 = 0.01;

/// Number of layers for whose slots each rank has load buffers.
pub const BUFFERED_LAYERS: usize = 1;

/// Relative slowdown of a rank while it loads experts.
pub const LOAD_SLOWDOWN: f64 = 0.05;

/// Largest rate of popularity reports at a lead, in bytes per second.
pub const REPORT_BYTES_PER_SECOND: u64 = 3000;

/// Encoded size of one expert's count in a report, in bytes.
pub const COUNT_BYTES: u64 = 4;

/// Shortest window of popularity reports.
pub const WINDOW_MIN: Duration = Duration::from_secs(10);

/// Number of latest changes by whose gain a search decides whether to end.
pub const SEARCH_PATIENCE: usize = 24;

/// Largest number of layers that one decision searches, starting with the highest possible gain.
pub const SEARCH_LAYERS_MAX: usize = 12;

/// Time for which popularity must have been unchanged before it is expected to last at all.
pub const SETTLED_MIN: Duration = Duration::from_secs(100);
