//! Authenticated frames and datagrams between the system's own processes.

pub(crate) mod codes;
pub(crate) mod error;
pub(crate) mod events;
pub(crate) mod seal;
pub(crate) mod secret;

#[cfg(test)]
mod tests;

pub use error::WireError;
pub use seal::{DATAGRAM_BYTES_MAX, seal, unseal};
pub use secret::{Secret, Secrets};
