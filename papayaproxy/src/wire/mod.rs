//! Authenticated links and datagrams between the processes of the system.

pub(crate) mod codec;
pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod context;
pub(crate) mod error;
pub(crate) mod events;
pub(crate) mod frame;
pub(crate) mod handshake;
pub(crate) mod link;
pub(crate) mod outbox;
pub(crate) mod seal;
pub(crate) mod secret;
pub(crate) mod sending;
pub(crate) mod server;

#[cfg(test)]
mod tests;

pub use context::{GenerationSource, LinkContext, LinkStats, NewerHook};
pub use error::WireError;
pub use frame::{Action, CallFailure, CallHead, CallTag, Header, Reply, ReplyEnd, ReplyHead};
pub use handshake::Identity;
pub use link::{Call, Link, LinkLost};
pub use seal::{DATAGRAM_BYTES_MAX, seal, unseal};
pub use secret::{Secret, Secrets};
