//! Defaults and bounds of admission, retry budgets and circuits.

use std::time::Duration;

/// Highest priority, the most urgent one; 0 is the lowest.
pub const PRIORITY_MAX: u8 = 9;

/// Most requests of one workspace that wait at one process.
pub(crate) const QUEUE_MAX: usize = 256;

/// Fraction of the capacity that is reserved for workspaces within their share.
pub(crate) const RESERVED_RATIO: f64 = 0.05;

/// Mean duration of a request, in seconds, that is assumed before any request has ended.
pub(crate) const INITIAL_DURATION_S: f64 = 1.0;

/// Weight of a new sample in the mean duration.
pub(crate) const DURATION_WEIGHT: f64 = 0.05;

/// Retries earned by each first attempt.
pub(crate) const RETRY_RATIO: f64 = 0.1;

/// Most retries that one workspace may accumulate.
pub(crate) const WORKSPACE_RETRIES_MAX: f64 = 10.0;

/// Most retries that all workspaces together may accumulate.
pub(crate) const TOTAL_RETRIES_MAX: f64 = 100.0;

/// Retries that are available to all workspaces together when a process starts.
pub(crate) const INITIAL_RETRIES: f64 = 10.0;

/// Sliding window over which a circuit counts answers.
pub(crate) const WINDOW: Duration = Duration::from_secs(10);

/// Buckets of the window; answers expire one bucket at a time.
pub(crate) const BUCKETS: usize = 5;

/// Answers in the window below which the ratio does not open a circuit.
pub(crate) const ANSWERS_MIN: u32 = 6;

/// Default fraction of errors and slow answers that opens a circuit.
pub(crate) const BAD_RATIO: f64 = 0.5;

/// Consecutive bad answers that open a circuit.
pub(crate) const BAD_STREAK: u32 = 3;

/// Consecutive good probes that close a circuit.
pub(crate) const GOOD_PROBES: u32 = 2;

/// Default time before the first probe.
pub(crate) const FIRST_WAIT: Duration = Duration::from_secs(2);

/// Default for the longest time before a probe.
pub(crate) const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Waits after which an open circuit closes without a probe, if no request has come that may be one.
pub(crate) const UNPROBED_WAITS: u32 = 2;

/// Time closed after which the wait before a probe is reset to the first one.
pub(crate) const WAIT_RESET: Duration = Duration::from_secs(60);

/// Largest multiple of a limit that all entries together may grant during a network partition.
pub(crate) const PARTITION_FACTOR: u32 = 2;

/// Interval at which the remembered number of entries decreases by one.
pub(crate) const ENTRY_EXPIRY: Duration = Duration::from_secs(600);

/// Half-life of past usage, in seconds.
pub(crate) const USAGE_HALF_LIFE_S: f64 = 5.0;

/// Workspaces with usage records below which idle ones are not removed.
pub(crate) const USAGE_RECORDS_MIN: usize = 64;

/// Longest expected wait in the queue; beyond it a request is refused at once.
pub(crate) const WAIT_MAX: Duration = Duration::from_secs(2);
