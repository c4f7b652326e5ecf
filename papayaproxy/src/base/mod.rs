//! Types shared by all slices: names, digests, incarnations, result codes, log events and constants.

pub(crate) mod accept;
pub(crate) mod clock;
pub(crate) mod code;
pub mod constants;
pub(crate) mod control;
pub(crate) mod digest;
pub(crate) mod error;
pub(crate) mod event;
pub(crate) mod events;
pub(crate) mod http;
pub(crate) mod metered;
pub(crate) mod name;
pub(crate) mod status;
pub(crate) mod supervise;

#[cfg(test)]
mod tests;
