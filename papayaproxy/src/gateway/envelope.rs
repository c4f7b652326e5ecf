//! What the headers of requests and answers say, in the product's own terms.

use crate::base::name::Name;
use std::time::Duration;

/// The key that a request came with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyHeader {
    /// None.
    Missing,
    /// One.
    One(Name),
    /// Several, or bytes that are no key.
    Unreadable,
}

/// What a client says of its request.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    /// Id of this attempt of the client.
    pub(crate) id: Name,
    /// The client's key.
    pub(crate) key: KeyHeader,
    /// How long the client waits.
    pub(crate) patience: Option<Duration>,
    /// Tokens of the prompt; 0 where it says nothing.
    pub(crate) prompt_tokens: u32,
    /// Last event that the client has of a stream that it takes up again.
    pub(crate) last_event: Option<u64>,
}

/// What the head of a replica's answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The answer stands, whatever its status.
    Final,
    /// The replica ran the request and failed.
    Failed,
    /// The replica did not run it.
    NotRun {
        /// Whether another replica has the address.
        misdirected: bool,
    },
    /// A status that would promise that nothing has run, without that being said.
    Unproven,
    /// It is no answer to this request, or not the replica's own bytes.
    Foreign,
}
