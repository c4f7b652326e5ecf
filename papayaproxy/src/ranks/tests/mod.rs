//! Tests of expert map planning and of the agreement between agents.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod agreement;
mod demand;
mod link;
mod maps;
mod pass;
mod planner;
mod rank;
mod shifts;
mod simulation;
mod undo;
