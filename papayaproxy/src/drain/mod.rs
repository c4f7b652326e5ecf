//! Graceful shutdown of upstreams and of our own processes.

pub(crate) mod codes;
pub(crate) mod events;
