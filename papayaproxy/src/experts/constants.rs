//! Defaults of this slice.

use std::time::Duration;

/// Time after which an unanswered request of the agreement is sent again.
pub const RESEND_AFTER: Duration = Duration::from_millis(20);

/// Time in which all ranks must promise a hold; past it the hold is released.
pub const HOLD_WAIT: Duration = Duration::from_millis(200);

/// Time without word from the lead after which the next rank takes over.
pub const LEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a deposed lead waits before it may lead again, times one more than its index.
pub const DEPOSED_WAIT: Duration = Duration::from_millis(150);

/// Steps by which a held step lies ahead of the ranks at least.
pub const HOLD_STEPS_MIN: u64 = 2;

/// Smoothing time of the fast average.
pub const FAST_TIME: Duration = Duration::from_secs(60);

/// Smoothing time of the slow average.
pub const SLOW_TIME: Duration = Duration::from_secs(1800);

/// Time over which gains are weighed against the cost of moves where both weights are equal.
pub const HORIZON: Duration = Duration::from_secs(900);

/// Largest factor by which the weights may stretch the horizon before it is clamped.
pub const HORIZON_SPAN: f64 = 16.0;

/// Windows for which an incomplete window is kept open.
pub const WINDOWS_MAX: u64 = 3;

/// Windows that must be counted before the first plan.
pub const WARM_WINDOWS: u32 = 6;

/// Earlier states of the fast average that are kept.
pub const SNAPSHOT_AGES: usize = 24;

/// Total variation distance within which popularity counts as unchanged.
pub const SETTLED_DISTANCE: f32 = 0.08;

/// Weight of the newest report in a rank's pace.
pub const PACE_GAIN: f64 = 0.25;

/// Relative time per token above which a rank is a straggler.
pub const STRAGGLER_ENTER: f64 = 1.15;

/// Relative time per token below which a rank is a straggler no longer.
pub const STRAGGLER_LEAVE: f64 = 1.08;

/// Slots, on the ranks with the least load, that a search considers as targets.
pub const COOL_SLOTS: usize = 32;

/// Fewest ranks with the least load that a search considers as targets.
pub const COOL_RANKS_MIN: usize = 4;

/// Ranks with the most load whose experts may get a replica on the hottest one, in place of a
/// replica there.
pub const WARM_RANKS: usize = 6;

/// Squarings that make the power of the search's potential: 2^4 = 16.
pub const POTENTIAL_SQUARINGS: u32 = 4;

/// Least reduction of the search's potential per load.
pub const SEARCH_GAIN_MIN: f64 = 1e-4;

/// Changes that a search makes in one layer at most.
pub const SEARCH_STEPS: usize = 96;

/// Least expected reduction of a layer's skew that moves are made for.
pub const GAIN_MIN: f64 = 0.005;

/// Layers whose slots each rank has buffers for while it loads.
pub const FLIGHT_LAYERS: usize = 1;

/// Share by which a rank is slower while it loads.
pub const LOAD_SLOWDOWN: f64 = 0.05;

/// Bytes a second of popularity reports that a lead takes in.
pub const REPORT_RATE: u64 = 3000;

/// Encoded bytes of one expert's count in a report.
pub const COUNT_BYTES: u64 = 3;

/// Shortest window of popularity reports.
pub const WINDOW_MIN: Duration = Duration::from_secs(10);

/// Changes after which a search that gains too little ends.
pub const SEARCH_PATIENCE: usize = 24;

/// Layers that one decision searches at most, those with the most to gain first.
pub const SEARCH_LAYERS: usize = 12;

/// Time for which popularity must have been unchanged before it is expected to last at all.
pub const SETTLED_MIN: Duration = Duration::from_secs(100);
