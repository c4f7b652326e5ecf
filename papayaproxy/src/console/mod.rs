//! Operators' forms: edit, validate and hand back the next fleet document.

pub(crate) mod codes;
pub(crate) mod events;
