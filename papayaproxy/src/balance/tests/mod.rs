//! Tests of load balancing: the retry budget, patterns of load, and the choice of an upstream.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod admission;
mod appointments;
mod budget;
mod budget_fleet;
mod budget_late;
mod circuits;
mod evacuations;
mod limits;
mod patterns;
mod records;
mod spread;
mod stops;
mod warmup;
