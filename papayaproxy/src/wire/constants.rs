//! Limits and intervals of links.

use std::time::Duration;

/// Version of the link protocol.
pub(crate) const LINK_VERSION: u16 = 1;

/// Largest frame, in bytes: a request body of 1 MiB with its head.
pub(crate) const FRAME_BYTES_MAX: usize = (1 << 20) + (64 << 10);

/// Largest hello, in bytes.
pub(crate) const HELLO_BYTES_MAX: usize = 512;

/// Bytes of a reply that may be on their way to an entry without its consent.
pub(crate) const REPLY_WINDOW_BYTES: u32 = 256 << 10;

/// Frames that wait for one link's socket.
pub(crate) const OUTBOX_FRAMES: usize = 1024;

/// Frames that are written to the socket in one go.
pub(crate) const BATCH_FRAMES: usize = 64;

/// Time for making a link, handshake included.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Interval between looks at a link, and between pings while calls are in progress on it.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between pings on a link without calls.
pub(crate) const IDLE_PING_INTERVAL: Duration = Duration::from_secs(20);

/// An entry closes a link on which a ping is unanswered for so long.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// An agent closes a link on which nothing was heard for so long.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_secs(45);
