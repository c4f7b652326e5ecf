//! Tests of expert maps on replicas that take orders.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod agreement;
mod pass;
mod planner;
