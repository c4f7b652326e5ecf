//! Why a process cannot open.

use crate::base::code::Code;
use crate::membership::NodeError;
use crate::telemetry::codes;
use snafu::Snafu;
use std::net::SocketAddr;

/// Why a process cannot open.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The process cannot take part in membership.
    #[snafu(display("cannot join: {source}"), context(false))]
    Join {
        /// Why not.
        source: NodeError,
    },
    /// The control thread cannot be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Control {
        /// What the system reported.
        source: std::io::Error,
    },
    /// The metrics exporter cannot be set up.
    #[snafu(display("cannot set up metrics: {reason}"))]
    Metrics {
        /// What the exporter reported.
        reason: String,
    },
}

impl ProcessError {
    /// The result code.
    pub fn code(&self) -> Code {
        match self {
            Self::Listen { .. } => codes::LISTEN_FAILED,
            Self::Join { source } => source.code(),
            Self::Control { .. } => codes::CONTROL_FAILED,
            Self::Metrics { .. } => codes::METRICS_FAILED,
        }
    }
}
