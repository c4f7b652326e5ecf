//! The choice of an upstream for each request.

pub(crate) mod codes;
pub(crate) mod events;
