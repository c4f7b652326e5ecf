//! Commands of the operators' shell tool.

pub(crate) mod codes;
pub(crate) mod events;
