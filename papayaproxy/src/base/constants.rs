//! Defaults shared by several slices; those of a single slice are in its own `constants.rs`.

use std::time::Duration;

/// Largest fleet document, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 1 << 20;

/// Largest request body that an entry accepts from a caller, in bytes.
pub const BODY_BYTES_MAX: usize = 1 << 20;

/// Deadline of a call for which neither the caller nor the service sets one.
pub const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);

/// Longest deadline that a caller may request.
pub const DEADLINE_MAX: Duration = Duration::from_secs(600);

/// Time within which a leaving upstream stops receiving new work.
pub const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Bytes that a connection reads before other tasks run; parsing them takes about a millisecond at
/// most, whatever they are.
pub(crate) const TURN_BYTES: usize = 16 << 10;

/// Read buffer of a connection whose answers are metered, in bytes. It bounds their heads, as for the
/// heads of clients, with room for what replicas add.
pub(crate) const ANSWER_BUFFER_BYTES: usize = 32 << 10;

/// Bytes that a connection may read without a head or data of a body. Above the largest head, and
/// what is read ahead of a slow receiver: a buffer, and two frames of its size.
pub(crate) const UNUSED_BYTES_MAX: usize = 128 << 10;
