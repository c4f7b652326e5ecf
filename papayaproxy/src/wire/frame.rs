//! Messages on a link between an entry and an agent.

use crate::base::code::{Code, Outcome};
use crate::base::name::{Incarnation, Name};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies a call. Every reply echoes it, so that a late or crossed reply is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallTag {
    /// The entry process that made the call.
    pub caller: Incarnation,
    /// Number of the call within that process.
    pub call: u64,
    /// Hash of the workspace's name.
    pub workspace: u64,
}

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Lower-case name.
    pub name: String,
    /// Raw value.
    pub value: Bytes,
}

/// What a call asks of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Pass the call on to the upstream.
    Call,
    /// Issue so many idempotency keys.
    Issue(u32),
    /// Tell what is known of the key.
    Lookup,
    /// Revoke the key.
    Revoke,
}

/// A call as an entry sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallHead {
    /// The request's id, as the caller sees it.
    pub request: u64,
    /// The workspace.
    pub workspace: Name,
    /// The service.
    pub service: Name,
    /// HTTP method.
    pub method: String,
    /// Path and query at the upstream.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// What is asked of the agent.
    pub action: Action,
    /// Issued idempotency key, if the call has one.
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
    /// Headers to pass on.
    pub headers: Vec<Header>,
}

/// How a reply ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyEnd {
    /// Bytes of all pieces together.
    pub length: u64,
    /// XXH3 of all pieces in order.
    pub checksum: u64,
    /// The result code.
    pub code: Code,
}

/// Why a call got no whole reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallFailure {
    /// The result code.
    pub code: Code,
    /// What the agent can vouch for.
    pub outcome: Outcome,
    /// After which time another try may succeed, if that is known.
    pub retry: Option<Duration>,
}

/// What a reply frame says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Status and headers.
    Head(ReplyHead),
    /// The piece numbered `sequence`, from 0.
    Piece {
        /// Number of the piece.
        sequence: u64,
        /// Its bytes.
        data: Bytes,
    },
    /// The reply is whole.
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
        /// What is called.
        head: CallHead,
        /// The whole request body.
        body: Bytes,
    },
    /// Ends a call whose caller is gone.
    Cancel(CallTag),
    /// Allows the agent to send more bytes of a reply.
    Credit {
        /// Identifies the call.
        tag: CallTag,
        /// Further bytes.
        bytes: u32,
    },
    /// Part of a reply.
    Reply {
        /// Identifies the call.
        tag: CallTag,
        /// What the reply says.
        reply: Reply,
    },
    /// Asks whether the peer is alive.
    Ping(u64),
    /// Answers a ping.
    Pong(u64),
}

/// A frame with the generation of the fleet document that its sender has in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Generation of the sender's document.
    pub generation: u64,
    /// The message.
    pub frame: Frame,
}

/// First message of each side on a new link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the protocol.
    pub version: u16,
    /// Number of the key that the client seals with.
    pub key: u8,
    /// Fresh random bytes.
    pub nonce: [u8; 16],
    /// Name of the process.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
}
