//! Content of request and response headers, independent of their names on the wire.

use crate::base::name::Name;
use std::time::Duration;

/// The API key sent with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyHeader {
    Missing,
    One(Name),
    /// Several keys, or bytes that are not a valid key.
    Unreadable,
}

/// Request properties stated by the client.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    /// Id of this attempt of the client; empty if the client sent none.
    pub(crate) id: Name,
    pub(crate) key: KeyHeader,
    /// How long the client waits for the response; `None` if it does not say.
    pub(crate) timeout: Option<Duration>,
    /// Prompt length in tokens; 0 if the client does not state it.
    pub(crate) prompt_tokens: u32,
    /// Most tokens that the answer may have; `None` if the client does not state it.
    pub(crate) answer_tokens: Option<u32>,
    /// Ids of the parts of the prompt, in order; empty if the client does not state them. Requests
    /// share parts, but for the last one.
    pub(crate) prompt_parts: Vec<Name>,
    /// Id of the last event that the client received, if it resumes a stream.
    pub(crate) last_event: Option<u64>,
}

/// What the head of a replica's response proves about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The response is valid and final, whatever its status.
    Final,
    /// The replica ran the request and failed.
    Failed,
    /// The replica did not run the request.
    NotRun {
        /// Whether another replica uses the address now.
        misdirected: bool,
    },
    /// The status suggests that the request did not run, but the replica does not confirm it.
    Unproven,
    /// The response belongs to another request, or was not produced by the replica unaltered.
    Foreign,
}
