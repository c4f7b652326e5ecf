//! Orders to engines, fencing numbers and the shared plan of weight loads.

pub(crate) mod codes;
pub(crate) mod events;
