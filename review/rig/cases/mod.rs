//! The cases; each returns how often the rule was broken.

pub mod drain;
pub mod events;
pub mod seats;
pub mod silence;
pub mod stop;
