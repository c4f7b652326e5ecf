//! Errors of frames, datagrams and links.

use super::codes;
use crate::base::code::Code;
use snafu::Snafu;

/// Why a message or link failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The message is too short to hold a seal.
    #[snafu(display("message of {length} bytes is too short for a seal"))]
    Short {
        /// Length of the message in bytes.
        length: usize,
    },
    /// The message is sealed with a key that is not in force in this process.
    #[snafu(display("sealing key {id} is not in force"))]
    KeyUnknown {
        /// Number of the key.
        id: u8,
    },
    /// The authentication code does not match.
    #[snafu(display("authentication code does not match"))]
    Broken,
    /// The message cannot be encoded or decoded.
    #[snafu(display("malformed message: {source}"))]
    Malformed {
        /// Error from postcard.
        source: postcard::Error,
    },
    /// A link key is not of the form `id:64-hex-digits`.
    #[snafu(display("expected a link key of the form id:64-hex-digits"))]
    SecretInvalid,
    /// The link closed.
    #[snafu(display("link closed"))]
    Closed,
    /// The socket failed, or the link could not be opened.
    #[snafu(display("socket failed: {source}"))]
    Refused {
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A message exceeds the size limit of a frame or hello.
    #[snafu(display("message of {length} bytes is too large"))]
    Oversized {
        /// Length of the message in bytes.
        length: usize,
    },
    /// The peer did not complete the handshake.
    #[snafu(display("handshake failed: {reason}"))]
    Handshake {
        /// Step that failed.
        reason: &'static str,
    },
}

impl WireError {
    /// Returns the result code of this error.
    pub fn code(&self) -> Code {
        match self {
            Self::Short { .. } => codes::SEAL_SHORT,
            Self::KeyUnknown { .. } => codes::SEAL_KEY_UNKNOWN,
            Self::Broken => codes::SEAL_BROKEN,
            Self::Malformed { .. } => codes::MESSAGE_MALFORMED,
            Self::SecretInvalid => codes::SECRET_INVALID,
            Self::Closed => codes::LINK_CLOSED,
            Self::Refused { .. } => codes::LINK_REFUSED,
            Self::Oversized { .. } => codes::FRAME_OVERSIZED,
            Self::Handshake { .. } => codes::HANDSHAKE_FAILED,
        }
    }
}

impl From<std::io::Error> for WireError {
    fn from(source: std::io::Error) -> Self {
        Self::Refused { source }
    }
}
