//! Orders to engines, fencing numbers and the shared plan of weight loads.

pub(crate) mod codes;
pub mod constants;
pub(crate) mod events;
pub(crate) mod fence;
pub(crate) mod gate;
pub(crate) mod order;
pub(crate) mod share;

#[cfg(test)]
mod tests;

pub use fence::Fence;
pub use gate::{Answer, Gate, Numbered};
pub use order::{Action, Order, Target};
pub use share::{Purpose, Share};
