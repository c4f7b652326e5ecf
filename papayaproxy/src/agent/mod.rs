//! The agent process: the only gate to its upstream.

pub(crate) mod codes;
pub(crate) mod events;
