//! Limits and intervals of an entry.

use std::time::Duration;

/// Largest reply, in bytes, that is buffered until it is complete. Larger replies and event streams
/// are forwarded as they arrive.
pub(crate) const BUFFERED_BYTES_MAX: usize = 256 << 10;

/// Pieces of a reply that are queued for a slow caller, in addition to the link's flow-control
/// window.
pub(crate) const QUEUED_PIECES: usize = 8;

/// Time without a piece after which a stream counts as stalled.
pub(crate) const PIECE_GAP_LIMIT: Duration = Duration::from_millis(1500);

/// Interval of the checks for view changes, circuit changes and overdue attempts.
pub(crate) const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the deadline that is reserved for sending the answer to the caller.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// Wait before a keyed call is retried at the agent that issued the key.
pub(crate) const KEYED_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Default deadline of a request that issues, shows or revokes a key.
pub(crate) const KEYS_DEADLINE: Duration = Duration::from_secs(5);

/// Expected output tokens of a model request that states no limit.
pub(crate) const OUTPUT_TOKENS_DEFAULT: u32 = 128;

/// Bytes of text per token, to estimate the tokens of a prompt.
pub(crate) const BYTES_PER_TOKEN: usize = 4;
