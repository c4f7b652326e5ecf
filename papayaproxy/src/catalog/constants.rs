//! Times and sizes of the catalog.

use std::time::Duration;

/// Bytes of a request's head where the configuration sets none; hyper's own default is larger.
pub(crate) const HEADER_BYTES: usize = 16 << 10;
/// Bytes of a request's body where the configuration sets none.
pub(crate) const BODY_BYTES: usize = 4 << 20;
/// Time for a request's head where the configuration sets none.
pub(crate) const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a connection may be idle where the configuration sets none.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Wait of one watch of the configuration; each answer renews the proof of freshness.
pub(crate) const CONFIG_WAIT: Duration = Duration::from_millis(1500);
/// Wait of one watch of the upstreams.
pub(crate) const UPSTREAM_WAIT: Duration = Duration::from_millis(4000);
/// Wait of the first watch after a failure: just long enough to be a watch.
pub(crate) const PROBE_WAIT: Duration = Duration::from_millis(1);
/// Pause between two watches of the upstreams, since each call has its price.
pub(crate) const UPSTREAM_PAUSE: Duration = Duration::from_millis(400);
/// First pause after a failed call; it doubles up to the longest.
pub(crate) const RETRY_FIRST: Duration = Duration::from_millis(150);
/// Longest pause after failed calls; short against the time that a proof of freshness lasts.
pub(crate) const RETRY_LONGEST: Duration = Duration::from_millis(800);
/// Time for which a watch may miss changes before it is cut: the store's own stated delay.
pub(crate) const WATCH_LAG: Duration = Duration::from_millis(1000);

/// Time after the store's return in which the entries of live replicas come back, with a margin.
pub(crate) const LAPSE_TIME: Duration = Duration::from_millis(2300);
/// Removed entries that are remembered: more than leave within the time that a peer may doubt one.
pub(crate) const GONE_KEPT: usize = 512;
