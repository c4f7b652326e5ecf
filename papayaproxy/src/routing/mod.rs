//! Routing: the choice of an upstream for each request.

pub(crate) mod attempt;
pub(crate) mod cache;
pub(crate) mod candidates;
pub(crate) mod choice;
pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod decision;
pub(crate) mod events;
pub(crate) mod home;
pub(crate) mod load;
pub(crate) mod prefix;
pub(crate) mod request;
pub(crate) mod router;
pub(crate) mod score;
pub(crate) mod settings;

#[cfg(test)]
mod tests;

pub use attempt::{AttemptOutcome, CacheEvent, CircuitChange, OverdueAttempt, Ticket};
pub use candidates::{Candidate, Candidates, Distance, Presence};
pub use constants::{BLOCK_BYTES, BLOCK_TOKENS, BLOCKS_MAX, SCORED_MAX};
pub use decision::{Decision, Reason, Refusal, ScoredCandidate, ScoredList};
pub use prefix::prompt_blocks;
pub use request::{ModelKey, Moment, Request};
pub use router::Router;
pub use settings::{SETTINGS, Settings};
