//! Limits and intervals of an entry.

use std::time::Duration;

/// Largest reply that is held back until it is whole, in bytes. Larger ones and event streams are
/// passed on as they come.
pub(crate) const WHOLE_BYTES_MAX: usize = 256 << 10;

/// Pieces of a reply that may wait for a slow caller, besides the link's own window.
pub(crate) const BODY_PIECES: usize = 8;

/// A stream without a piece for so long is taken to stand still.
pub(crate) const PIECE_GAP_LIMIT: Duration = Duration::from_millis(1500);

/// Interval between checks of the view, of circuits and of overdue attempts.
pub(crate) const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the deadline that is kept for the answer to reach the caller.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// Wait before the agent of a key is asked again.
pub(crate) const KEYED_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time allowed for issuing, showing or revoking a key.
pub(crate) const KEYS_LIMIT: Duration = Duration::from_secs(5);

/// Tokens of output that are expected of a model request that names no limit.
pub(crate) const OUTPUT_TOKENS_EXPECTED: u32 = 128;

/// Bytes of text that a token stands for, where a prompt's tokens must be guessed.
pub(crate) const TOKEN_BYTES: usize = 4;
