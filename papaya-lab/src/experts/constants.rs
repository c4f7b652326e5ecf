//! Sizes of the lock-step group stand-in and of its traces.

use std::time::Duration;

/// Experts in each layer.
pub(crate) const EXPERTS: u16 = 128;

/// Duration of a step whose load is spread evenly.
pub(crate) const STEP: Duration = Duration::from_millis(25);

/// Steps in one second of virtual time.
pub(crate) const STEPS_PER_SECOND: u64 = 40;

/// Tokens that each rank contributes to a layer in one step, counted once for each chosen expert.
pub(crate) const TOKENS_PER_RANK: f32 = 2048.0;

/// Requests in progress on each rank.
pub(crate) const REQUESTS_PER_RANK: f64 = 16.0;

/// Bytes of one expert's weights.
pub(crate) const EXPERT_BYTES: u64 = 44_000_000;

/// Bytes a second that the weight store grants each rank.
pub(crate) const LOAD_RATE: f64 = 250e6;

/// Lag of a report behind the end of its window, in seconds.
pub(crate) const REPORT_LAG_S: u64 = 3;

/// Reports lost of a hundred.
pub(crate) const REPORTS_LOST: u32 = 2;

/// Time between two full recomputations, in seconds.
pub(crate) const FULL_PERIOD_S: u64 = 300;

/// Virtual time at which every policy has its first plan, and from which the comparison counts.
pub(crate) const WARM_S: u64 = 900;

/// Virtual time of the first plan of the static map and of the full recomputation, in seconds.
pub(crate) const FIRST_PLAN_S: u64 = 300;

/// Expert slots per layer on each rank, by the number of ranks.
pub(crate) fn slots(ranks: u16) -> u16 {
    match ranks {
        0..=31 => EXPERTS.div_ceil(ranks.max(1)) + 2,
        32..=127 => EXPERTS.div_ceil(ranks) + 1,
        _ => 2,
    }
}
