//! Limits, timeouts and intervals of links.

use std::time::Duration;

/// Version of the link protocol; a peer with another version is refused.
pub(crate) const LINK_VERSION: u16 = 1;

/// Largest frame, in bytes: a request body of 1 MiB with its head.
pub(crate) const FRAME_BYTES_MAX: usize = (1 << 20) + (64 << 10);

/// Largest hello, in bytes.
pub(crate) const HELLO_BYTES_MAX: usize = 512;

/// Bytes of a reply that an agent may send before the entry grants further credit.
pub(crate) const REPLY_WINDOW_BYTES: u32 = 256 << 10;

/// Capacity of a link's send queue, in frames.
pub(crate) const OUTBOX_FRAMES: usize = 1024;

/// Most frames in one write to the socket.
pub(crate) const BATCH_FRAMES: usize = 64;

/// Time limit for opening a link, including the handshake.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Interval between liveness checks of a link, and between pings while it has calls in progress.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between pings on a link without calls.
pub(crate) const IDLE_PING_INTERVAL: Duration = Duration::from_secs(20);

/// An entry closes a link if nothing is received for this time after a ping.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// An agent closes a link on which no frame arrives for this time.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_secs(45);
