//! Limits of the fleet document and of its distribution.

use std::time::Duration;

/// Shortest default deadline of a service.
pub(crate) const DEADLINE_MIN: Duration = Duration::from_millis(1);

/// Longest planned stop of an upstream.
pub(crate) const LEAVE_MAX: Duration = Duration::from_secs(7 * 24 * 3600);

/// All upstreams of a non-idempotent service must not start planned stops within this time.
pub(crate) const LEAVE_SPACING: Duration = Duration::from_secs(3600);

/// Largest generation; stops a typing mistake from using up the range.
pub(crate) const GENERATION_MAX: u64 = 1_000_000_000_000;

/// Largest relative share of a workspace.
pub(crate) const SHARE_MAX: u32 = 1_000_000;

/// Maximum of each of layers, experts and slots of a group.
pub(crate) const GROUP_SIZE_MAX: u16 = 4096;

/// Maximum number of problems reported for one document.
pub(crate) const PROBLEMS_MAX: usize = 1000;

/// Number of chunks for upstreams, assigned by hash of the name.
pub(crate) const UPSTREAM_CHUNKS: usize = 16;

/// Number of chunks for workspaces, assigned by hash of the name.
pub(crate) const WORKSPACE_CHUNKS: usize = 128;

/// Maximum bytes of document text in one datagram.
pub(crate) const PART_BYTES: usize = 1200;

/// Maximum number of chunk parts in one request.
pub(crate) const REQUEST_PARTS_MAX: usize = 24;

/// Time without the requested parts after which they are requested again.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Consecutive unanswered requests after which the peer is given up.
pub(crate) const REQUEST_ATTEMPTS_MAX: u32 = 3;
