//! A process that has joined: what its role is opened with.

use super::feed::Feed;
use crate::base::clock::Clock;
use crate::wire::Identity;
use tokio::net::TcpListener;

/// What a role is opened with.
pub struct JoinedProcess {
    /// Who the process is.
    pub identity: Identity,
    /// What it knows of the fleet.
    pub feed: Feed,
    /// Its monotonic clock.
    pub clock: Clock,
    /// The listener at its address.
    pub listener: TcpListener,
}
