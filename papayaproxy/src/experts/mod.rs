//! Expert placement of lock-step groups: popularity of the experts, planning of moves, and the
//! protocol by which all ranks switch to a new expert map at the same step.

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
pub use layout::{lay_out, load_lower_bound, replica_counts};
pub use lead::{Lead, OutboundRequest, Phase};
pub use map::{ExpertMap, LayerMap, Move, Shape};
pub use message::{Hold, MapId, RankState, Reply, Request, StepNumber, Switch, Term, Verdict};
pub use pace::StragglerDetector;
pub use plan::{Decision, DeclineReason, LoadCost, Plan, PlanInput, Weights, decide};
pub use popularity::{DropReason, ExpertCount, Popularity, RankReport};
pub use rank::{Rank, Step};
pub use search::{Change, Demand, Search};
