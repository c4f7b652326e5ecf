//! What an agent remembers of one key, and the answers made from it.

use super::codes;
use crate::base::code::Code;
use crate::base::digest::Digest;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One header of a kept reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHeader {
    /// The header's name in lower case.
    pub name: String,
    /// The header's value.
    pub value: Vec<u8>,
}

/// The whole reply of an upstream, as it is repeated to whoever shows the key again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// The HTTP status.
    pub status: u16,
    /// The headers that callers see.
    pub headers: Vec<StoredHeader>,
    /// The body.
    pub body: Bytes,
}

impl StoredReply {
    /// Bytes that count against the limit of kept replies.
    pub(crate) fn size(&self) -> usize {
        let headers = self.headers.iter().map(|h| h.name.len() + h.value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// How a started request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It ran and this is its whole reply.
    Completed(Arc<StoredReply>),
    /// It provably did not reach the upstream.
    NotRun(Code),
    /// It may have run.
    Unknown(Code),
}

/// What is to be done with a call that shows a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginDecision {
    /// Run it now; [`super::KeyTable::finish`] must follow.
    Run,
    /// It has run; this is its reply.
    Replay(Arc<StoredReply>),
    /// It is running; wait for its end and ask again.
    Wait,
    /// It is refused with this code, whose outcome stands in the table.
    Refused(Code),
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// It ran and this is its whole reply.
    Completed(Arc<StoredReply>),
    /// This code tells its state; the table tells its outcome.
    Status(Code),
}

/// What has become of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The upstream may have been touched.
    Started,
    /// The reply is kept.
    Done(Arc<StoredReply>),
    /// It ran, but the reply is gone.
    Dropped,
    /// It may have run.
    Lost(Code),
    /// It never ran and never will.
    Revoked(Code),
}

/// What an agent remembers of a key that was started or revoked.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) state: State,
    /// Digest of the request that started it.
    pub(crate) request: Digest,
}

impl State {
    /// The state's name in the log.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Done(_) => "done",
            Self::Dropped => "dropped",
            Self::Lost(_) => "lost",
            Self::Revoked(_) => "revoked",
        }
    }

    /// What a repeated call is told.
    pub(crate) fn begin(&self) -> BeginDecision {
        match self {
            Self::Started => BeginDecision::Wait,
            Self::Done(reply) => BeginDecision::Replay(reply.clone()),
            Self::Dropped => BeginDecision::Refused(codes::KEY_REPLY_DROPPED),
            Self::Lost(code) | Self::Revoked(code) => BeginDecision::Refused(*code),
        }
    }

    /// What a question for the outcome is told.
    pub(crate) fn lookup(&self) -> Lookup {
        match self {
            Self::Started => Lookup::Status(codes::KEY_RUNNING),
            Self::Done(reply) => Lookup::Completed(reply.clone()),
            Self::Dropped => Lookup::Status(codes::KEY_REPLY_DROPPED),
            Self::Lost(code) | Self::Revoked(code) => Lookup::Status(*code),
        }
    }
}
