//! The state that an agent stores for one key, and the answers derived from it.

use super::codes;
use crate::base::code::Code;
use crate::base::digest::Digest;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One header of a stored reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHeader {
    /// In lower case.
    pub name: String,
    /// Raw bytes, not necessarily UTF-8.
    pub value: Vec<u8>,
}

/// The whole reply of an upstream, replayed to later calls with the same key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on to callers.
    pub headers: Vec<StoredHeader>,
    /// Whole body.
    pub body: Bytes,
}

impl StoredReply {
    /// Bytes that count against the limit on stored replies.
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

/// What to do with a call that has a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginDecision {
    /// Run it now; [`super::KeyTable::finish`] must follow.
    Run,
    /// The request has run; answer with this reply.
    Replay(Arc<StoredReply>),
    /// The request is running; wait until it ends, then begin again.
    Wait,
    /// Answer with this code, which determines the outcome.
    Refused(Code),
}

/// State of a key, as callers see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// It ran and this is its whole reply.
    Completed(Arc<StoredReply>),
    /// No reply is available; this code states why and determines the outcome.
    Status(Code),
}

/// State of a key that was started or revoked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The request was started and has not ended; it may have reached the upstream.
    Started,
    /// The request ran and its reply is stored.
    Done(Arc<StoredReply>),
    /// The request ran, but its reply was dropped to respect the size limit.
    Dropped,
    /// The request may have run; its reply was lost.
    Lost(Code),
    /// The request never ran and never will.
    Revoked(Code),
}

/// Record of a key that was started or revoked; other keys have none.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) state: State,
    /// Digest of the request that started the key; the default if none did.
    pub(crate) request: Digest,
}

impl State {
    /// Name in log events.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Done(_) => "done",
            Self::Dropped => "dropped",
            Self::Lost(_) => "lost",
            Self::Revoked(_) => "revoked",
        }
    }

    /// What to do with a further call that has the key.
    pub(crate) fn begin(&self) -> BeginDecision {
        match self {
            Self::Started => BeginDecision::Wait,
            Self::Done(reply) => BeginDecision::Replay(reply.clone()),
            Self::Dropped => BeginDecision::Refused(codes::KEY_REPLY_DROPPED),
            Self::Lost(code) | Self::Revoked(code) => BeginDecision::Refused(*code),
        }
    }

    /// The answer to a lookup of the key.
    pub(crate) fn lookup(&self) -> Lookup {
        match self {
            Self::Started => Lookup::Status(codes::KEY_RUNNING),
            Self::Done(reply) => Lookup::Completed(reply.clone()),
            Self::Dropped => Lookup::Status(codes::KEY_REPLY_DROPPED),
            Self::Lost(code) | Self::Revoked(code) => Lookup::Status(*code),
        }
    }
}
