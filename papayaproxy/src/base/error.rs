//! Errors at the start of a process.

use crate::base::code::Code;
use crate::membership::NodeError;
use crate::telemetry::codes;
use snafu::Snafu;
use std::net::SocketAddr;

/// Why a process cannot start.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The process cannot join the membership.
    #[snafu(display("cannot join: {source}"), context(false))]
    Join {
        /// Error from membership.
        source: NodeError,
    },
    /// The control thread cannot be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Control {
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The metrics exporter cannot be set up.
    #[snafu(display("cannot set up metrics: {reason}"))]
    Metrics {
        /// Error text of the exporter.
        reason: String,
    },
}

/// The text of `error` and of the errors that caused it.
pub(crate) fn with_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

impl ProcessError {
    /// Returns the result code of this error.
    pub fn code(&self) -> Code {
        match self {
            Self::Listen { .. } => codes::LISTEN_FAILED,
            Self::Join { source } => source.code(),
            Self::Control { .. } => codes::CONTROL_FAILED,
            Self::Metrics { .. } => codes::METRICS_FAILED,
        }
    }
}
