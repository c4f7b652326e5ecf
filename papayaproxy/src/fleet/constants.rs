//! Limits of the fleet document and of its distribution.

use std::time::Duration;

/// Shortest default deadline of a service.
pub(crate) const DEADLINE_MIN: Duration = Duration::from_millis(1);

/// Longest planned stop.
pub(crate) const LEAVE_MAX: Duration = Duration::from_secs(7 * 24 * 3600);

/// Time in which not all upstreams of a service with non-idempotent calls may start to leave.
pub(crate) const LEAVE_SPACING: Duration = Duration::from_secs(3600);

/// Largest generation, so that a slip of the pen cannot use the numbers up.
pub(crate) const GENERATION_MAX: u64 = 1_000_000_000_000;

/// Largest share of a workspace.
pub(crate) const SHARE_MAX: u32 = 1_000_000;

/// Largest number of layers, experts or slots of a group.
pub(crate) const GROUP_SIZE_MAX: u16 = 4096;

/// Most mistakes that one parse reports.
pub(crate) const PROBLEMS_MAX: usize = 1000;

/// Chunks that the upstreams are spread over by their names.
pub(crate) const UPSTREAM_CHUNKS: usize = 16;

/// Chunks that the workspaces are spread over by their names.
pub(crate) const WORKSPACE_CHUNKS: usize = 128;

/// Bytes of a document's text in one datagram of a fetch.
pub(crate) const PART_BYTES: usize = 1200;

/// Pieces that one message of a fetch asks for.
pub(crate) const REQUEST_PARTS_MAX: usize = 24;

/// Wait for pieces before they are asked for again.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Unanswered asks after which a fetch turns to another peer.
pub(crate) const REQUEST_ATTEMPTS_MAX: u32 = 3;
