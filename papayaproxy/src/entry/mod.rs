//! The entry process: callers' HTTP in, routed calls out, answers by the deadline.

pub(crate) mod codes;
pub(crate) mod events;
