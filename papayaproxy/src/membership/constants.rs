//! Times and bounds of membership.

use std::time::Duration;

/// Interval of beats in a small zone.
pub(crate) const BEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Live processes of a zone up to which the interval of beats stays the shortest.
pub(crate) const ZONE_SMALL: usize = 100;

/// Beats between two full descriptions of one process.
pub(crate) const FULL_EVERY: u64 = 10;

/// Beats between two exchanges with other zones.
pub(crate) const REMOTE_EVERY: u64 = 5;

/// Beats between two probes of an address that is not live.
pub(crate) const PROBE_EVERY: u64 = 3;

/// Entries that an agent sends its beats to.
pub(crate) const HOMES: usize = 2;

/// Entries of a zone that exchange rows with each other zone.
pub(crate) const GATEWAYS: usize = 2;

/// Processes of a zone that watch the platform.
pub(crate) const WATCHERS: usize = 3;

/// Entries up to which a zone's entries all exchange rows directly.
pub(crate) const GRID_SINGLE: usize = 9;

/// Time for which a silent entry keeps its place in the grid.
pub(crate) const GRID_KEEP: Duration = Duration::from_secs(12);

/// Missed beats after which a process is suspected.
pub(crate) const SUSPECT_BEATS: u32 = 5;

/// Missed beats after which a process is held to be dead.
pub(crate) const DEAD_BEATS: u32 = 10;

/// Beats in a row after which a suspected or dead process is live again.
pub(crate) const RECOVER_BEATS: u8 = 2;

/// Time after which a dead process is forgotten.
pub(crate) const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Time without an entry after which agents watch the platform themselves.
pub(crate) const ENTRYLESS_AFTER: Duration = Duration::from_secs(5);

/// Bytes of rows in one datagram, which leaves room for its head and seal.
pub(crate) const ROWS_BYTES_MAX: usize = 1100;

/// Datagrams with which a new process is told of its zone.
pub(crate) const WELCOME_DATAGRAMS: usize = 8;

/// Entries that an agent is told of with each answer.
pub(crate) const HINTS: usize = 3;

/// Candidate addresses that are kept.
pub(crate) const CANDIDATES_MAX: usize = 4096;

/// Time between two publications of the live view.
pub(crate) const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a new process gathers versions before it may be ready.
pub(crate) const GATHER_TIME: Duration = Duration::from_millis(800);

/// Time after which a process is ready though nobody has answered.
pub(crate) const START_LIMIT: Duration = Duration::from_secs(3);

/// Time after which a process is ready though it could not fetch the highest version it heard of.
pub(crate) const CATCH_UP_LIMIT: Duration = Duration::from_secs(10);

/// Longest wait of one watch of the platform.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Time beyond a watch's wait after which it has failed.
pub(crate) const WATCH_SLACK: Duration = Duration::from_secs(5);

/// Time in which the platform has to answer a read.
pub(crate) const READ_LIMIT: Duration = Duration::from_secs(2);

/// Shortest pause after a failed call to the platform.
pub(crate) const BACK_OFF_MIN: Duration = Duration::from_millis(200);

/// Longest pause after a failed call to the platform.
pub(crate) const BACK_OFF_MAX: Duration = Duration::from_secs(2);

/// Time between two reads of the platform's list of hosts.
pub(crate) const HOSTS_INTERVAL: Duration = Duration::from_secs(20);

/// Shortest pause after a failed read of the list of hosts.
pub(crate) const HOSTS_PAUSE: Duration = Duration::from_secs(5);

/// Calls to the platform that one process may make at once.
pub(crate) const CALLS_BURST: f64 = 10.0;

/// Calls to the platform per second that one process may make over time.
pub(crate) const CALLS_RATE: f64 = 2.0;

/// Largest list of hosts, in bytes.
pub(crate) const HOSTS_BYTES_MAX: usize = 1 << 20;

/// Addresses near by that a process probes with each beat until it knows a live entry.
pub(crate) const PROBES_AT_START: usize = 6;

/// Beats of a run in which it probes at the higher rate.
pub(crate) const START_BEATS: u64 = 15;

/// Unanswered beats after which an agent turns to another entry.
pub(crate) const UNANSWERED_BEATS: u32 = 5;

/// Beats after which an agent tries an entry again that did not answer.
pub(crate) const RETRY_BEATS: u32 = 50;

/// Peers that are asked after a link has shown a newer generation.
pub(crate) const INQUIRIES: usize = 3;

/// Entries that an agent tells an asking entry of.
pub(crate) const KNOWN_ENTRIES: usize = 8;

/// Reads of the list of hosts that a new process makes, since the list lags.
pub(crate) const HOSTS_READS: u32 = 3;

/// Time between these reads.
pub(crate) const HOSTS_READ_PAUSE: Duration = Duration::from_secs(3);
