//! Handles of a process that has joined the membership.

use super::feed::Feed;
use crate::base::clock::Clock;
use crate::wire::Identity;
use tokio::net::TcpListener;

/// What an entry or agent is opened with after joining.
pub struct JoinedProcess {
    /// Name and incarnation of the process.
    pub identity: Identity,
    /// Fleet document and live view.
    pub feed: Feed,
    /// Monotonic clock, shared with membership.
    pub clock: Clock,
    /// Bound TCP listener of the process.
    pub listener: TcpListener,
}
