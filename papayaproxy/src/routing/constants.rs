//! Defaults and limits of routing.

use std::time::Duration;

/// Prompt bytes covered by one block hash.
pub const BLOCK_BYTES: usize = 256;

/// Tokens that one block is assumed to hold.
pub const BLOCK_TOKENS: u32 = 64;

/// Most blocks of a prompt that are hashed.
pub const BLOCKS_MAX: usize = 256;

/// Blocks of a prompt that determine its homes, unless they are hot.
pub const HOME_BLOCKS: usize = 8;

/// Fraction of the fair load of a prompt's homes above which a block is hot.
pub(crate) const HOT_FRACTION: f64 = 0.5;

/// Half-life of the request counts from which hot blocks are found.
pub(crate) const REQUEST_HALF_LIFE_SECONDS: f64 = 30.0;

/// Recent requests below which no block is hot.
pub(crate) const HOT_REQUESTS_MIN: f64 = 50.0;

/// Live upstreams of a service below which a prompt has one home fewer.
pub(crate) const SMALL_POOL: usize = 12;

/// Most homes of a prompt; all of them are scored.
pub(crate) const HOMES_MAX: usize = 3;

/// Fraction of a known prefix that each home of the prompt is expected to hold, best home first.
pub(crate) const HOME_TRUST: [f64; HOMES_MAX] = [0.9, 0.7, 0.5];

/// Fraction of a known prefix that an upstream other than a home is expected to hold.
pub(crate) const OTHER_TRUST: f64 = 0.0;

/// Upstreams recorded for each block.
pub(crate) const HOLDERS_MAX: usize = 4;

/// Upstreams with a cached prefix that are considered for one request.
pub(crate) const MATCHES_MAX: usize = 4;

/// Most candidates scored and logged in one decision.
pub const SCORED_MAX: usize = 12;

/// Random candidates scored in the zone of the entry, and again in the other zones.
pub(crate) const RANDOM_SAMPLES: usize = 2;

/// Random draws for each of [`RANDOM_SAMPLES`]; ineligible upstreams use them up.
pub(crate) const DRAWS_PER_SAMPLE: usize = 4;

/// Most blocks in the prefix index.
pub(crate) const INDEX_BLOCKS_MAX: usize = 1 << 16;

/// Blocks compared when one is evicted from a full prefix index.
pub(crate) const EVICTION_WINDOW: usize = 8;

/// Default time in which the tokens expected of a cached prefix halve.
pub(crate) const CACHE_HALF_LIFE: Duration = Duration::from_secs(60);

/// Default score added for upstreams in other zones of the same region.
pub(crate) const ZONE_PENALTY: Duration = Duration::from_millis(15);

/// Default score added for upstreams in other regions.
pub(crate) const REGION_PENALTY: Duration = Duration::from_millis(150);

/// Default time over which the share of a new or recovered upstream grows to its full value.
pub(crate) const SLOW_START: Duration = Duration::from_secs(10);

/// Fraction of the full share at the beginning of slow start.
pub(crate) const SLOW_START_FLOOR: f64 = 0.1;

/// Prefill rate assumed before the first sample.
pub(crate) const PREFILL_TOKENS_PER_SECOND: f64 = 8_000.0;

/// Largest factor between a sample of the prefill rate and [`PREFILL_TOKENS_PER_SECOND`].
pub(crate) const PREFILL_RATE_FACTOR: f64 = 8.0;

/// Duration of an attempt assumed before the first sample.
pub(crate) const DEFAULT_CALL_SECONDS: f64 = 0.1;

/// Weight of a new sample in the averages of the prefill rate and of the duration of attempts.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;

/// Duration of a decode step assumed until one is reported.
pub(crate) const DEFAULT_STEP_SECONDS: f64 = 0.02;

/// Slots assumed before the first load report.
pub(crate) const DEFAULT_SLOTS: u32 = 32;

/// Score added if all slots are occupied; proportional to the occupancy otherwise.
pub(crate) const OCCUPANCY_SECONDS: f64 = 0.3;

/// Weight of the predicted decode time in the score.
pub(crate) const DECODE_WEIGHT: f64 = 0.1;

/// Weight of the prefill time, which delays the other requests of the upstream, in the score.
pub(crate) const PREFILL_WEIGHT: f64 = 2.0;

/// Score added to an upstream without a load report.
pub(crate) const UNREPORTED_SECONDS: f64 = 1.0;

/// Shortest time without a first token after which an attempt is overdue.
pub(crate) const OVERDUE_MIN: Duration = Duration::from_millis(1500);

/// Multiple of the predicted time to the first token after which an attempt is overdue.
pub(crate) const OVERDUE_FACTOR: f64 = 4.0;

/// Fraction of the other entries' requests that is estimated from those of this entry.
pub(crate) const PEER_SEND_FRACTION: f64 = 0.5;

/// Age at which a load report and the moving average of the reports count equally.
pub(crate) const REPORT_HALF_LIFE_SECONDS: f64 = 1.0;

/// Weight of a new load report in the moving average of the requests in an upstream.
pub(crate) const MEAN_REQUESTS_WEIGHT: f64 = 0.03;
