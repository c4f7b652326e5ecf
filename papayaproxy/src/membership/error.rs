//! Errors of membership and of platform calls.

use super::codes;
use crate::base::code::Code;
use snafu::Snafu;
use std::net::SocketAddr;

/// Membership cannot be started.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// The UDP socket cannot be bound.
    #[snafu(display("cannot bind UDP socket {address}: {source}"))]
    Socket {
        /// Requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

impl NodeError {
    /// Result code of the error.
    pub fn code(&self) -> Code {
        codes::SOCKET_FAILED
    }
}

/// A platform call failed.
#[derive(Debug, Snafu)]
pub(crate) enum PlatformError {
    /// No connection, or no response before the timeout.
    #[snafu(display("no response: {reason}"))]
    Unreachable { reason: String },
    /// Response with an error status.
    #[snafu(display("responded with status {status}"))]
    Refused { status: u16 },
    /// Response that cannot be decoded.
    #[snafu(display("malformed response: {reason}"))]
    Malformed { reason: String },
}

impl PlatformError {
    /// Result code of the error.
    pub(crate) fn code(&self) -> Code {
        match self {
            Self::Unreachable { .. } => codes::PLATFORM_UNREACHABLE,
            Self::Refused { .. } => codes::PLATFORM_REFUSED,
            Self::Malformed { .. } => codes::PLATFORM_MALFORMED,
        }
    }
}
