//! Draining of upstreams and graceful shutdown of this project's processes.

pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod events;
pub(crate) mod intent;
pub(crate) mod machine;
pub(crate) mod settings;

#[cfg(test)]
mod tests;

pub use intent::{LeaveConditions, Reason, is_leaving};
pub use machine::{Drain, Phase, Step, Work};
pub use settings::{DrainSettings, SETTINGS};
