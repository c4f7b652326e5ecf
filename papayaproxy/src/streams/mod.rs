//! Whole answers: numbered pieces, end markers, resumption and continuation of streams.

pub(crate) mod codes;
pub(crate) mod events;
