//! Messages on a link between an entry and an agent.

use crate::base::code::{Code, Outcome};
use crate::base::name::{Incarnation, Name};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies a call. Every reply echoes it, so that late and misdirected replies are detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallTag {
    /// The entry process that made the call.
    pub caller: Incarnation,
    /// Sequence number of the call within that process, from 1.
    pub call: u64,
    /// XXH3 of the workspace's name.
    pub workspace: u64,
}

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Lower-case name.
    pub name: String,
    /// Value as raw bytes.
    pub value: Bytes,
}

/// Operation that a call requests from the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Forward the call to the upstream.
    Call,
    /// Issue the given number of idempotency keys.
    Issue(u32),
    /// Return the state of the key.
    Lookup,
    /// Revoke the key.
    Revoke,
}

/// A call as an entry sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallHead {
    /// Request id, also returned to the caller.
    pub request: u64,
    /// Workspace of the caller.
    pub workspace: Name,
    /// Service whose upstream handles the call.
    pub service: Name,
    /// HTTP method.
    pub method: String,
    /// Path and query at the upstream.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// Requested operation.
    pub action: Action,
    /// Issued idempotency key; `None` for a call without one.
    pub key: Option<String>,
    /// Priority from 0 (background) to 9 (urgent).
    pub priority: u8,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
}

/// The head of a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// HTTP status.
    pub status: u16,
    /// Headers to forward.
    pub headers: Vec<Header>,
}

/// How a reply ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyEnd {
    /// Total length of all pieces in bytes.
    pub length: u64,
    /// XXH3 of all pieces in order.
    pub checksum: u64,
    /// The result code.
    pub code: Code,
}

/// Reason that a call has no complete reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallFailure {
    /// The result code.
    pub code: Code,
    /// Outcome that the agent guarantees.
    pub outcome: Outcome,
    /// Delay after which a retry may succeed; `None` if unknown.
    pub retry: Option<Duration>,
}

/// Content of a reply frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Status and headers.
    Head(ReplyHead),
    /// Part of the body.
    Piece {
        /// Index of the piece, from 0.
        sequence: u64,
        /// Bytes of the piece.
        data: Bytes,
    },
    /// The reply is complete.
    End(ReplyEnd),
    /// The call failed, before or during its reply.
    Failure(CallFailure),
}

/// A message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Starts a call.
    Call {
        /// Identifies the call.
        tag: CallTag,
        /// Request without its body.
        head: CallHead,
        /// Complete request body.
        body: Bytes,
    },
    /// Cancels a call whose caller has disconnected.
    Cancel(CallTag),
    /// Allows the agent to send more bytes of a reply.
    Credit {
        /// Identifies the call.
        tag: CallTag,
        /// Bytes allowed in addition to earlier credit.
        bytes: u32,
    },
    /// Part of a reply.
    Reply {
        /// Identifies the call.
        tag: CallTag,
        /// Content of the part.
        reply: Reply,
    },
    /// Checks that the peer is alive; the peer echoes the number in a pong.
    Ping(u64),
    /// Reply to the ping with this number.
    Pong(u64),
}

/// A frame with the generation of the fleet document in force at its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Generation of the sender's document.
    pub generation: u64,
    /// Enclosed frame.
    pub frame: Frame,
}

/// First message of each side on a new link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Link protocol version of the sender.
    pub version: u16,
    /// Number of the link key that authenticates this hello.
    pub key: u8,
    /// Random bytes, new for each link; an input of the session keys.
    pub nonce: [u8; 16],
    /// Name of the process.
    pub name: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}
