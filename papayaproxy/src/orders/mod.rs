//! Orders from an agent to its engine, their fencing numbers, and the agent's share of the rate
//! at which weights are loaded.

pub(crate) mod codes;
pub mod constants;
pub(crate) mod events;
pub(crate) mod fence;
pub(crate) mod gate;
pub(crate) mod order;
pub(crate) mod share;

#[cfg(test)]
mod tests;

pub use fence::FenceCounter;
pub use gate::{EngineReply, FencedOrder, OrderGate};
pub use order::{Action, Order, Target};
pub use share::{LoadPurpose, RateShare};
