//! Who is sent where, who waits and who is refused, on upstreams that are called directly.
//!
//! Without I/O, clock or randomness: each method takes `now`, and draws come with the request.

pub(crate) mod ask;
pub(crate) mod budget;
pub(crate) mod constants;
pub(crate) mod desk;
pub(crate) mod engine;
pub(crate) mod events;
pub(crate) mod service;
pub(crate) mod spread;
pub(crate) mod upstream;

#[cfg(test)]
mod tests;

pub(crate) use ask::{Refusal, Seat, SeatDecision, SeatRequest};
pub(crate) use desk::Balancer;
pub(crate) use upstream::SendOutcome;
