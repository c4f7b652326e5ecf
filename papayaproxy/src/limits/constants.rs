//! Defaults and bounds of the limits.

use std::time::Duration;

/// Lowest number that means the most urgent priority.
pub const PRIORITY_MAX: u8 = 9;

/// Requests of one workspace that may wait at one process.
pub(crate) const QUEUE_MAX: usize = 256;

/// Part of the capacity that only workspaces within their share may use.
pub(crate) const RESERVE: f64 = 0.05;

/// Duration of a request assumed until some have ended, in seconds.
pub(crate) const TOOK_SECONDS: f64 = 1.0;

/// Weight of a new sample in the mean duration.
pub(crate) const SMOOTHING: f64 = 0.05;

/// Retries allowed for each first attempt.
pub(crate) const RETRY_RATIO: f64 = 0.1;

/// Most retries that one workspace may save up.
pub(crate) const RETRY_SAVED: f64 = 10.0;

/// Most retries that all workspaces together may save up.
pub(crate) const RETRY_SAVED_ALL: f64 = 100.0;

/// Retries that a process starts with.
pub(crate) const RETRY_START: f64 = 10.0;

/// Span over which a circuit counts answers.
pub(crate) const WINDOW: Duration = Duration::from_secs(10);

/// Parts of the span, each dropped as a whole.
pub(crate) const BUCKETS: usize = 5;

/// Answers in the span below which the ratio does not open a circuit.
pub(crate) const ANSWERS_MIN: u32 = 6;

/// Part of errors and slow answers that opens a circuit.
pub(crate) const BAD_RATIO: f64 = 0.5;

/// Bad answers in a row that open a circuit.
pub(crate) const BAD_ROW: u32 = 3;

/// Good probes in a row that close a circuit.
pub(crate) const GOOD_PROBES: u32 = 2;

/// Time before the first probe.
pub(crate) const OPEN_FIRST: Duration = Duration::from_secs(2);

/// Longest time before a probe.
pub(crate) const OPEN_MAX: Duration = Duration::from_secs(30);

/// Time closed after which the wait for a probe starts anew.
pub(crate) const CALM: Duration = Duration::from_secs(60);

/// How many times the limit all entries together may grant while zones are cut off.
pub(crate) const CUT_BOUND: u32 = 2;

/// Time in which the remembered count of entries falls by one.
pub(crate) const FORGET_ENTRY: Duration = Duration::from_secs(600);

/// Time in which the weight of past use halves, in seconds.
pub(crate) const PAST_HALF: f64 = 5.0;

/// Workspaces that admission keeps before it looks for idle ones.
pub(crate) const KEPT_MIN: usize = 64;

/// Longest expected wait in the queue; beyond it a request is refused at once.
pub(crate) const WAIT_MAX: Duration = Duration::from_secs(2);
