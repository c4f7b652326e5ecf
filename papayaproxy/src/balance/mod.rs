//! Load balancing over directly called upstreams: places, queues or refuses each request.
//!
//! Contains no I/O, clock or randomness: each method takes `now`, and random bits come with the
//! request.

mod admission;
pub(crate) mod appointments;
mod arrivals;
pub(crate) mod ask;
pub(crate) mod budget;
pub(crate) mod constants;
pub(crate) mod desk;
pub(crate) mod engine;
mod evacuation;
pub(crate) mod events;
pub(crate) mod limits;
mod placement;
mod rate;
mod records;
mod returning;
pub(crate) mod service;
mod shares;
pub(crate) mod spread;
pub(crate) mod upstream;
mod waiting;
pub(crate) mod warmup;

#[cfg(test)]
mod tests;

pub(crate) use arrivals::Arrivals;
pub(crate) use ask::{Refusal, Seat, SeatDecision, SeatRequest};
pub(crate) use budget::BudgetDecision;
pub(crate) use desk::Balancer;
pub(crate) use upstream::SendOutcome;
pub(crate) use warmup::WarmUpRule;
