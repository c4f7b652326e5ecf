//! The users' platform: names, formats and calls. Nothing here decides.
//!
//! Each wire name is decoded once, into types of [`crate::catalog`] and [`crate::gateway`] whose
//! fields say what they hold.

pub(crate) mod caller;
pub(crate) mod config;
pub(crate) mod names;
pub(crate) mod rank;
pub(crate) mod replica;
pub(crate) mod request;
pub(crate) mod store;
pub(crate) mod upstream;

#[cfg(test)]
mod tests;

pub(crate) use store::{Store, StoreError, StoreUpdate};
