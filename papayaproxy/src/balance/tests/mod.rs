//! Tests of the balance, by pattern of load.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod budget;
mod patterns;
mod spread;
