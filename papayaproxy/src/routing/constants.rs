//! Defaults and bounds of routing.

use std::time::Duration;

/// Bytes of prompt that one block hash covers.
pub const BLOCK_BYTES: usize = 256;

/// Tokens that one block is taken to hold.
pub const BLOCK_TOKENS: u32 = 64;

/// Most blocks of a prompt that are hashed.
pub const BLOCKS_MAX: usize = 256;

/// Blocks of a prompt that decide its home.
pub const HOME_BLOCKS: usize = 8;

/// Part of its homes' fair load above which the start of a prompt is hot.
pub(crate) const HOT_PART: f64 = 0.5;

/// Time in which the heat of a block halves, in seconds.
pub(crate) const HEAT_HALF: f64 = 30.0;

/// Requests below which no block is hot.
pub(crate) const HEAT_MIN: f64 = 50.0;

/// Upstreams of a service below which a prompt has one home less.
pub(crate) const SMALL_POOL: usize = 12;

/// Homes of a prompt that are scored.
pub(crate) const HOMES: usize = 3;

/// Part of a known prefix that each home of the prompt is expected to hold, the first home first.
pub(crate) const HOME_TRUST: [f64; HOMES] = [0.9, 0.7, 0.5];

/// Trust in the cache of an upstream that is no home of the prompt.
pub(crate) const STRAY_TRUST: f64 = 0.0;

/// Upstreams remembered for each block.
pub(crate) const HOLDERS_MAX: usize = 4;

/// Upstreams with a cached prefix that are scored for one request.
pub(crate) const MATCHES_MAX: usize = 4;

/// Most candidates that one decision scores and reports.
pub const SCORED_MAX: usize = 12;

/// Random candidates scored in the own zone, and again in the other zones.
pub(crate) const SAMPLES: usize = 2;

/// Draws made for each random candidate before the pool is scanned.
pub(crate) const DRAWS: usize = 4;

/// Blocks that the prefix index holds.
pub(crate) const INDEX_BLOCKS: usize = 1 << 16;

/// Entries compared when the prefix index makes room.
pub(crate) const EVICT_WINDOW: usize = 8;

/// Time in which trust in a cached prefix halves.
pub(crate) const CACHE_HALF_LIFE: Duration = Duration::from_secs(60);

/// Score added for another zone of the same region.
pub(crate) const ZONE_PENALTY: Duration = Duration::from_millis(15);

/// Score added for another region.
pub(crate) const REGION_PENALTY: Duration = Duration::from_millis(150);

/// Time in which a new or returning upstream comes up to its full part.
pub(crate) const SLOW_START: Duration = Duration::from_secs(10);

/// Part of the full load that slow start begins with.
pub(crate) const SLOW_START_FLOOR: f64 = 0.1;

/// Prefill rate assumed until answers were seen, in tokens per second.
pub(crate) const PREFILL_RATE: f64 = 8_000.0;

/// Largest factor between the assumed and a learnt prefill rate.
pub(crate) const RATE_SPAN: f64 = 8.0;

/// Duration of a call assumed until answers were seen, in seconds.
pub(crate) const CALL_SECONDS: f64 = 0.1;

/// Weight of a new sample in a moving average.
pub(crate) const SMOOTHING: f64 = 0.1;

/// Step time assumed until a report was seen, in seconds.
pub(crate) const STEP_SECONDS: f64 = 0.02;

/// Slots assumed until a report was seen.
pub(crate) const SLOTS: u32 = 32;

/// Score of a full set of running requests, in seconds.
pub(crate) const CROWD_SECONDS: f64 = 0.3;

/// Score of each second that the expected output takes.
pub(crate) const DECODE_WEIGHT: f64 = 0.1;

/// Weight of the time that computing a prompt takes from other requests.
pub(crate) const MISS_WEIGHT: f64 = 2.0;

/// Score added to an upstream that has not reported yet, in seconds.
pub(crate) const UNKNOWN_SECONDS: f64 = 1.0;

/// Least time without a first token after which an attempt counts as slow.
pub(crate) const STALL_FLOOR: Duration = Duration::from_millis(1500);

/// Multiple of the predicted time after which an attempt counts as slow.
pub(crate) const STALL_FACTOR: f64 = 4.0;

/// Part of the other entries' sends that is inferred from the own ones.
pub(crate) const PEER_PART: f64 = 0.5;

/// Time in which trust in a report halves, in seconds.
pub(crate) const REPORT_HALF: f64 = 1.0;

/// Weight of a report in an upstream's usual number of requests.
pub(crate) const USUAL_WEIGHT: f64 = 0.03;
