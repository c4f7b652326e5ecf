//! Expert popularity, placement and the agreement on an expert map.

pub(crate) mod barrier;
pub(crate) mod codes;
pub mod constants;
pub(crate) mod events;
pub(crate) mod layout;
pub(crate) mod lead;
pub(crate) mod map;
pub(crate) mod message;
pub(crate) mod pace;
pub(crate) mod plan;
pub(crate) mod popularity;
pub(crate) mod rank;
pub(crate) mod search;

#[cfg(test)]
mod tests;

pub use barrier::Barrier;
pub use layout::{bound, lay_out, replicate};
pub use lead::{Lead, Phase, Send};
pub use map::{ExpertMap, LayerMap, Move, Shape};
pub use message::{Hold, MapId, RankState, Reply, Request, StepNumber, Switch, Term, Verdict};
pub use pace::Paces;
pub use plan::{Decision, Declined, LoadCost, Plan, Situation, Weights, decide};
pub use popularity::{Dropped, ExpertCount, Popularity, RankReport};
pub use rank::{Rank, Step};
pub use search::{Change, Demand, Search};
