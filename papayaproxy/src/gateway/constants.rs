//! Timeouts and limits of the gateway.

use std::time::Duration;

/// Timeout to connect to an upstream: a few round trips between zones, but less than the second
/// after which a lost packet is sent again.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle time after which a pooled connection is not reused. A shorter `Keep-Alive` timeout of the
/// upstream takes precedence.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_millis(4000);
/// Idle limit for requests that cannot be retried: they should rarely meet a connection that the
/// upstream is closing.
pub(crate) const IDLE_TIMEOUT_UNSAFE: Duration = Duration::from_millis(900);
/// Margin subtracted from the `Keep-Alive` timeout that an upstream states.
pub(crate) const IDLE_MARGIN: Duration = Duration::from_millis(300);
/// Idle connections kept per upstream.
pub(crate) const IDLE_CONNECTIONS_MAX: usize = 24;
/// TCP user timeout: the time that sent data may stay unacknowledged before the kernel closes the
/// connection.
pub(crate) const UNACKED_TIMEOUT: Duration = Duration::from_millis(3000);

/// Largest plain response in bytes. It is buffered until it is complete, so that a truncated one is
/// never forwarded.
pub(crate) const RESPONSE_BYTES_MAX: usize = 8 << 20;
/// Limit of all buffered bodies of requests and responses together, in bytes: a process takes 64 MB at
/// most, of which connections need half.
pub(crate) const BUFFER_BYTES_MAX: usize = 24 << 20;
/// Part of [`BUFFER_BYTES_MAX`] up to which bodies of more than [`SMALL_BODY_BYTES`] are buffered, so
/// that few large ones leave room for the usual ones.
pub(crate) const LARGE_BODIES_FRACTION: f64 = 0.75;
/// Part of [`BUFFER_BYTES_MAX`] from which on new requests are refused.
pub(crate) const REFUSAL_FRACTION: f64 = 0.9;
/// Size up to which a body counts as a usual one, in bytes.
pub(crate) const SMALL_BODY_BYTES: usize = 64 << 10;
/// Largest body of a replica's failure in bytes; it is a text for people.
pub(crate) const FAILURE_BYTES_MAX: usize = 64 << 10;
/// Largest body of a refusal that is read so that its connection can be reused, in bytes.
pub(crate) const REFUSAL_BYTES_MAX: usize = 64 << 10;
/// Time within which the body of a refusal must be complete; the request waits for it.
pub(crate) const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval between checks on a silent upstream.
pub(crate) const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Pause after a failed attempt to move a stream away from a silent upstream.
pub(crate) const HANDOVER_PAUSE: Duration = Duration::from_millis(250);
/// Silence after which a repeatable plain request is retried at another upstream, as a multiple of
/// the latency target.
pub(crate) const PLAIN_SILENCE_FACTOR: f64 = 3.0;
/// Lower bound of the silence given by [`PLAIN_SILENCE_FACTOR`].
pub(crate) const PLAIN_SILENCE_MIN: Duration = Duration::from_millis(300);
/// Pauses before each check whether an upstream has crashed; its process may take a moment to end.
pub(crate) const CRASH_CHECK_PAUSES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(150)];
/// Remaining time below which no attempt is made, since no upstream could respond in it.
pub(crate) const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(15);
/// Frames buffered between the relay of a stream and the client connection.
pub(crate) const RELAY_QUEUE_FRAMES: usize = 16;
/// Bytes that a piece held for a client counts beside its own: the entries that it takes in queues, and
/// the least that is allocated for it.
pub(crate) const PIECE_BYTES: usize = 256;
/// Part of the limit of what is held for clients from which on slow readers are cut.
pub(crate) const SLOW_BEGIN_FRACTION: f64 = 0.85;
/// Part of the limit down to which they are then cut, so that each shortage is one round.
pub(crate) const SLOW_END_FRACTION: f64 = 0.75;
/// Least age of undelivered bytes for which a client is cut below the limit. Above the time for which
/// events are held back on purpose, and below the 3 s after which the kernel gives up a connection
/// that accepts nothing.
pub(crate) const SLOW_AGE_MIN: Duration = Duration::from_millis(1000);
/// Fraction of a route's gap target up to which events are held back to even out the gaps; the rest
/// covers network and timer delays.
pub(crate) const PACE_GAP_RATIO: f64 = 0.9;
/// Fraction of the configured delay for which an event may be held back; the rest covers the way
/// from the replica and to the caller.
pub(crate) const PACE_DELAY_RATIO: f64 = 0.85;
/// Comments that a stream may bring between two events, in bytes: one of 16 bytes each second for an
/// hour.
pub(crate) const COMMENT_BYTES_MAX: usize = 64 << 10;
/// Runs in a row that begin with another event id than usual after which a service is taken to number
/// its events anew. A replica that spoils one answer in ten does so by chance once in 10,000 runs.
pub(crate) const FIRST_ID_RUNS: u32 = 4;
/// Attempts per request that may end without the request having run. They do not count against the
/// attempts of the route.
pub(crate) const NOT_RUN_MAX: u32 = 3;
/// Deadline of a request for which neither the client nor the route states one.
pub(crate) const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// Latency target of a route that states none.
pub(crate) const LATENCY_TARGET_DEFAULT: Duration = Duration::from_secs(1);

/// Interval between readiness updates; the load balancer polls once per second.
pub(crate) const STATE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks on requests that wait for a seat. Released seats are assigned at once.
pub(crate) const SEAT_INTERVAL: Duration = Duration::from_millis(40);

/// `Retry-After` of an entry that cannot serve yet.
pub(crate) const RETRY_AFTER_UNREADY: Duration = Duration::from_millis(600);
/// `Retry-After` of an entry that is stopping; the client reconnects to another entry.
pub(crate) const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(20);

/// Age of the freshness proof beyond which keys are no longer accepted, as a fraction of the time
/// within which a revoked key may still be used.
pub(crate) const KEY_AGE_FRACTION: f64 = 0.92;
/// Age of the freshness proof beyond which an entry is not ready, and no longer rejects requests
/// because their route or key is unknown.
pub(crate) const READY_AGE_MAX: Duration = Duration::from_millis(3000);

/// Time since the stop began from which on a request is only taken if its time limit ends before the
/// exit. One that is sent later than 3 s after SIGTERM and not finished breaks a promise; the rest
/// covers the way of a request and of the signal on a busy host.
pub(crate) const STOP_STRICT_AFTER: Duration = Duration::from_millis(2500);
/// Part of a stop that no new request may need: the answer has to be written before the process
/// exits, and timers of a busy host are late.
pub(crate) const STOP_RESERVE: Duration = Duration::from_millis(300);
/// Fraction of the grace period after which no new connections are accepted. Idle ones are closed
/// then, or after [`STOP_STRICT_AFTER`] if that is earlier.
pub(crate) const STOP_CLOSE_FRACTION: f64 = 0.6;
/// Fraction of the grace period after which the process exits even if requests are in progress.
pub(crate) const STOP_END_FRACTION: f64 = 0.96;
/// Refused requests after which a connection is not kept, since their ids are remembered with it.
pub(crate) const REFUSED_IDS_MAX: usize = 64;
/// Most requests that an exiting process logs as unfinished.
pub(crate) const UNFINISHED_LOGGED_MAX: usize = 50;
