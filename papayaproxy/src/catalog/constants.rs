//! Defaults, intervals and limits of the catalog.

use std::time::Duration;

/// Default limit of a request's head; hyper's own default is larger.
pub(crate) const HEADER_BYTES: usize = 16 << 10;
/// Default limit of a request's body.
pub(crate) const BODY_BYTES: usize = 4 << 20;
/// Default time in which a request's head must arrive.
pub(crate) const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Default time for which a client connection may be idle.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Long-poll timeout of a configuration watch; each answer confirms the configuration's freshness.
pub(crate) const CONFIG_WAIT: Duration = Duration::from_millis(1500);
/// The same where other processes rely on the answers.
pub(crate) const CONFIG_WAIT_SHARED: Duration = Duration::from_millis(800);
/// Long-poll timeout of an upstream watch where other processes rely on the answers.
pub(crate) const UPSTREAM_WAIT_SHARED: Duration = Duration::from_millis(1000);
/// Long-poll timeout of an upstream watch.
pub(crate) const UPSTREAM_WAIT: Duration = Duration::from_millis(4000);
/// Long-poll timeout of the first watch after a failure: the shortest that makes it a watch.
pub(crate) const PROBE_WAIT: Duration = Duration::from_millis(1);
/// Pause between two upstream watches, since each call has a cost, as a fraction of the time within
/// which the removal of an upstream must be known.
pub(crate) const PAUSE_FRACTION: f64 = 0.2;
/// Shortest pause between two upstream watches.
pub(crate) const UPSTREAM_PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause between two upstream watches.
pub(crate) const UPSTREAM_PAUSE_MAX: Duration = Duration::from_millis(1000);
/// Age of the configuration or the directory above which a process that relies on peers calls the
/// store itself.
pub(crate) const RELY_AGE: Duration = Duration::from_millis(2700);
/// Interval between two checks whether a process has to call the store.
pub(crate) const TURN_INTERVAL: Duration = Duration::from_millis(200);
/// First retry delay after a failed call; doubles up to [`RETRY_LONGEST`].
pub(crate) const RETRY_FIRST: Duration = Duration::from_millis(150);
/// Longest retry delay; short compared with the age up to which a configuration counts as fresh.
pub(crate) const RETRY_LONGEST: Duration = Duration::from_millis(800);
/// Longest time for which a watch may miss changes before it is cut off, as stated by the store.
pub(crate) const WATCH_LAG: Duration = Duration::from_millis(1000);

/// Delay of an answer beyond the time for which the store may wait with it, above which a failed call
/// counts as unanswered.
pub(crate) const OVERDUE_MIN: Duration = Duration::from_millis(150);

/// Time after the store recovers within which live replicas' records come back, with a margin.
pub(crate) const LAPSE_GRACE: Duration = Duration::from_millis(2300);
/// Longest time between two lists that peers have from the store while it counts as answering them.
pub(crate) const PEER_GAP_MAX: Duration = Duration::from_millis(2000);
/// Evacuated zones up to which peers are told of them, so that they fit one datagram. Entries that
/// rely on peers read the store themselves beyond that.
pub(crate) const EVACUATIONS_TOLD_MAX: usize = 64;
/// Removed records to remember; more than are removed while a peer may still list one of them.
pub(crate) const REMOVED_MAX: usize = 512;
/// Odd records whose logging is remembered; as many as one page of a listing has.
pub(crate) const IGNORED_MAX: usize = 512;
