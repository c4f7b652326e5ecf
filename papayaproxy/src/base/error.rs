//! Why a process cannot open.

use crate::base::code::Code;
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
            Self::Metrics { .. } => codes::METRICS_FAILED,
        }
    }
}
