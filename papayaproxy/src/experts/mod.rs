//! Expert popularity, placement and the agreement on an expert map.

pub(crate) mod codes;
pub(crate) mod events;
