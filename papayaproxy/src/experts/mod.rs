//! Expert popularity, placement and the agreement on an expert map.

pub(crate) mod barrier;
pub(crate) mod codes;
pub mod constants;
pub(crate) mod events;
pub(crate) mod lead;
pub(crate) mod message;
pub(crate) mod rank;

#[cfg(test)]
mod tests;

pub use barrier::Barrier;
pub use lead::{Lead, Phase, Send};
pub use message::{Hold, MapId, RankState, Reply, Request, StepNumber, Switch, Term, Verdict};
pub use rank::{Rank, Step};
