//! Why a process cannot take part in membership, and why a call to the platform failed.

use super::codes;
use crate::base::code::Code;
use snafu::Snafu;
use std::net::SocketAddr;

/// Why a process cannot take part.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// The UDP socket cannot be opened.
    #[snafu(display("cannot open UDP socket {address}: {source}"))]
    Socket {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
}

impl NodeError {
    /// The result code.
    pub fn code(&self) -> Code {
        codes::SOCKET_FAILED
    }
}

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
pub(crate) enum PlatformError {
    /// No answer in time, or no connection.
    #[snafu(display("no answer: {reason}"))]
    Unreachable { reason: String },
    /// An answer with an error.
    #[snafu(display("answered {status}"))]
    Refused { status: u16 },
    /// An answer that cannot be read.
    #[snafu(display("malformed answer: {reason}"))]
    Malformed { reason: String },
}

impl PlatformError {
    /// The result code.
    pub(crate) fn code(&self) -> Code {
        match self {
            Self::Unreachable { .. } => codes::PLATFORM_UNREACHABLE,
            Self::Refused { .. } => codes::PLATFORM_REFUSED,
            Self::Malformed { .. } => codes::PLATFORM_MALFORMED,
        }
    }
}
