//! Sizes of the experiment.

use std::time::Duration;

/// Model engines.
pub(crate) const ENGINES: usize = 16;

/// Plain services.
pub(crate) const PLAIN: usize = 3;

/// Entries.
pub(crate) const ENTRIES: usize = 9;

/// Availability zones.
pub(crate) const ZONES: usize = 3;

/// Requests that an engine runs at a time.
pub(crate) const SLOTS: u32 = 32;

/// Fixed part of an engine step, in seconds.
pub(crate) const STEP_BASE: f64 = 0.009;

/// Part of a step for each request that decodes, in seconds.
pub(crate) const STEP_DECODE: f64 = 0.000_12;

/// Part of a step for each prompt token that is computed, in seconds.
pub(crate) const STEP_PREFILL: f64 = 0.000_035;

/// Most prompt tokens that one step computes.
pub(crate) const CHUNK_TOKENS: u32 = 256;

/// Blocks that the prefix cache of an engine holds.
pub(crate) const CACHE_BLOCKS: usize = 2048;

/// Requests that a plain service runs at a time.
pub(crate) const PLAIN_SLOTS: u32 = 16;

/// Mean duration of a plain call, in seconds.
pub(crate) const PLAIN_SECONDS: f64 = 0.03;

/// Plain calls for each request to a model.
pub(crate) const PLAIN_PART: f64 = 0.2;

/// One way within a zone.
pub(crate) const NEAR: Duration = Duration::from_micros(100);

/// One way between zones.
pub(crate) const FAR: Duration = Duration::from_micros(500);

/// Time between load reports of an upstream.
pub(crate) const REPORT_EVERY: Duration = Duration::from_millis(250);

/// Time between sweeps of an entry for overdue attempts.
pub(crate) const SWEEP_EVERY: Duration = Duration::from_millis(100);

/// Time after which an entry misses an upstream that it cannot reach.
pub(crate) const MISSED_AFTER: Duration = Duration::from_millis(1500);

/// Deadline of each request.
pub(crate) const DEADLINE: Duration = Duration::from_secs(10);

/// Requests that entries admit for each slot of the upstreams.
pub(crate) const HEADROOM: f64 = 1.1;

/// Expected output of a request, in tokens, as far as an entry knows.
pub(crate) const OUTPUT_TOKENS: u32 = 110;

/// Attempts made for one request at most.
pub(crate) const ATTEMPTS_MAX: u32 = 3;
