//! Defaults that several slices share. Defaults of one slice stay in its own `constants.rs`.

use std::time::Duration;

/// Largest fleet document, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 1 << 20;

/// Largest request body that an entry takes from a caller, in bytes.
pub const BODY_BYTES_MAX: usize = 1 << 20;

/// Deadline of a call whose caller and service name none.
pub const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);

/// Longest deadline that a caller may ask for.
pub const DEADLINE_MAX: Duration = Duration::from_secs(600);

/// Time in which a leaving upstream stops receiving new work.
pub const LEAVE_LIMIT: Duration = Duration::from_secs(3);
