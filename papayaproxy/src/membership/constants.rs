//! Intervals, timeouts and limits of membership.

use std::time::Duration;

/// Heartbeat interval in zones with fewer than [`INTERVAL_ZONE_STEP`] live peers.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The heartbeat interval grows by [`HEARTBEAT_INTERVAL`] per this many live peers in the zone.
pub(crate) const INTERVAL_ZONE_STEP: usize = 100;

/// Ticks between two heartbeats that carry the full state of the sender.
pub(crate) const FULL_EVERY_TICKS: u64 = 10;

/// Ticks between two exchanges with other zones.
pub(crate) const REMOTE_EVERY_TICKS: u64 = 5;

/// Ticks between two probes of an address without a live process.
pub(crate) const PROBE_EVERY_TICKS: u64 = 3;

/// Entries that an agent sends its heartbeats to.
pub(crate) const HOME_ENTRIES: usize = 2;

/// Entries of a zone that exchange rows with each other zone.
pub(crate) const ZONE_GATEWAYS: usize = 2;

/// Entries of a zone that watch the platform.
pub(crate) const ZONE_WATCHERS: usize = 3;

/// Zones with at most this many entries use a grid of one row: all exchange rows directly.
pub(crate) const SINGLE_ROW_MAX: usize = 9;

/// Time for which a silent entry keeps its position in the grid.
pub(crate) const GRID_RETENTION: Duration = Duration::from_secs(12);

/// Missed heartbeats after which a process is suspected.
pub(crate) const SUSPECT_HEARTBEATS: u32 = 5;

/// Missed heartbeats after which a process is considered dead.
pub(crate) const DEAD_HEARTBEATS: u32 = 10;

/// Heartbeats since the last silence after which a suspected or dead process is live again.
pub(crate) const RECOVER_HEARTBEATS: u8 = 2;

/// Time since the last heartbeat after which a dead process is removed.
pub(crate) const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Time without a heartbeat from any entry after which agents watch the platform themselves.
pub(crate) const AGENT_WATCH_DELAY: Duration = Duration::from_secs(5);

/// Bytes of rows in one datagram; leaves room for the header and the seal.
pub(crate) const ROWS_BYTES_MAX: usize = 1100;

/// Most datagrams in the reply to one heartbeat, such as the state of a zone for a new entry.
pub(crate) const REPLY_DATAGRAMS_MAX: usize = 8;

/// Most entries listed in the reply of an entry to an agent.
pub(crate) const ENTRY_HINTS: usize = 3;

/// Candidate addresses that are kept; further ones are ignored.
pub(crate) const CANDIDATES_MAX: usize = 4096;

/// Interval at which a changed view is published.
pub(crate) const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a new process collects versions from its peers before it may become ready.
pub(crate) const GATHER_TIME: Duration = Duration::from_millis(800);

/// Time after which a process becomes ready although no peer has replied.
pub(crate) const READY_LIMIT: Duration = Duration::from_secs(3);

/// Time after which a process becomes ready without the highest version announced to it.
pub(crate) const CATCH_UP_LIMIT: Duration = Duration::from_secs(10);

/// Longest time that the platform holds one watch request.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Time beyond [`WATCH_WAIT`] after which a watch request times out.
pub(crate) const WATCH_SLACK: Duration = Duration::from_secs(5);

/// Timeout of a read from the platform.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest delay after a failed platform call, before jitter.
pub(crate) const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// Longest delay after a failed platform call.
pub(crate) const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Interval of reads of the platform's host list.
pub(crate) const HOSTS_INTERVAL: Duration = Duration::from_secs(20);

/// Shortest delay after a failed read of the host list.
pub(crate) const HOSTS_BACKOFF_MIN: Duration = Duration::from_secs(5);

/// Reads and watches of the document that one process may start in a burst.
pub(crate) const CALLS_BURST: f64 = 10.0;

/// Sustained reads and watches of the document per second of one process.
pub(crate) const CALLS_RATE: f64 = 2.0;

/// Largest accepted host list, in bytes.
pub(crate) const HOSTS_BYTES_MAX: usize = 1 << 20;

/// Addresses probed per tick at startup, or while no live entry is known.
pub(crate) const STARTUP_PROBES: usize = 6;

/// Ticks after the start during which [`STARTUP_PROBES`] applies.
pub(crate) const STARTUP_TICKS: u64 = 15;

/// Heartbeat intervals without a reply after which an agent switches to another entry.
pub(crate) const UNANSWERED_INTERVALS: u32 = 5;

/// Heartbeat intervals after which an agent tries an unresponsive entry again.
pub(crate) const RETRY_INTERVALS: u32 = 50;

/// Peers queried after a link has shown a newer generation.
pub(crate) const QUERY_PEERS: usize = 3;

/// Most entries listed in the reply of an agent to an entry.
pub(crate) const KNOWN_ENTRIES_MAX: usize = 8;

/// Reads of the host list at startup; the list lags behind new processes.
pub(crate) const HOSTS_STARTUP_READS: u32 = 3;

/// Interval of the reads at startup.
pub(crate) const HOSTS_STARTUP_INTERVAL: Duration = Duration::from_secs(3);
