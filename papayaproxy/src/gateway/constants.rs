//! Times and sizes of the gateway.

use std::time::Duration;

/// Time to connect to an upstream; a few round trips between zones, below a lost packet's second.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(350);
/// Idle time after which a kept connection to an upstream is not used again, where the upstream
/// states no time of its own.
pub(crate) const LINK_IDLE: Duration = Duration::from_millis(4000);
/// The same for a request that cannot be repeated, so that it rarely meets a closing connection.
pub(crate) const LINK_IDLE_UNSAFE: Duration = Duration::from_millis(900);
/// Margin before the time that an upstream states for idle connections.
pub(crate) const LINK_MARGIN: Duration = Duration::from_millis(300);
/// Kept connections to one upstream.
pub(crate) const LINKS_KEPT: usize = 24;
/// Time for sent bytes to be acknowledged before the system closes a connection.
pub(crate) const UNACKED_LIMIT: Duration = Duration::from_millis(3000);

/// Largest plain answer, in bytes; it is held whole until it is known to be whole.
pub(crate) const ANSWER_BYTES_MAX: usize = 8 << 20;
/// Pause between two looks at a silent stream.
pub(crate) const SILENCE_SLICE: Duration = Duration::from_millis(150);
/// Silence of a plain upstream, in multiples of the latency target, after which a request that may
/// be repeated goes elsewhere.
pub(crate) const PLAIN_SILENCE: f64 = 3.0;
/// Least such silence.
pub(crate) const PLAIN_SILENCE_LEAST: Duration = Duration::from_millis(300);
/// Time left below which nothing is sent any more: no upstream could answer.
pub(crate) const SEND_LEAST: Duration = Duration::from_millis(15);
/// Frames between a stream's relay and its caller's connection.
pub(crate) const RELAY_FRAMES: usize = 16;
/// Sends of one request that upstreams may turn down unrun, beyond the attempts of its route.
pub(crate) const UNRUN_MAX: u32 = 3;
/// Deadline of a request whose client and route state none.
pub(crate) const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// Latency target of a route that states none.
pub(crate) const TARGET_DEFAULT: Duration = Duration::from_secs(1);

/// Pause between two looks at readiness; the balancer asks once a second.
pub(crate) const STATE_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two looks at waiting requests; freed seats are given out at once.
pub(crate) const SEAT_TICK: Duration = Duration::from_millis(40);

/// Time to come back for a client of an entry that cannot serve yet.
pub(crate) const RETRY_UNREADY: Duration = Duration::from_millis(600);
/// Time to come back, elsewhere, for a client of an entry that is stopping.
pub(crate) const RETRY_STOPPING: Duration = Duration::from_millis(20);

/// Age of the proof of freshness, as a part of the time within which a withdrawn key may still be
/// used, beyond which keys are no longer accepted.
pub(crate) const KEY_AGE_PART: f64 = 0.92;
/// Age of the proof at which an entry no longer says that it is ready, and no longer says that a
/// route or key does not exist.
pub(crate) const READY_AGE: Duration = Duration::from_millis(3000);

/// Parts of the time for a graceful stop: up to which new streams are taken, and after which open
/// connections are closed once their request is answered.
pub(crate) const STOP_STREAMS: f64 = 0.4;
/// See [`STOP_STREAMS`].
pub(crate) const STOP_CLOSE: f64 = 0.6;
/// Part of the time for a graceful stop after which the process ends, whatever still runs.
pub(crate) const STOP_END: f64 = 0.96;
