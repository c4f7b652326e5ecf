//! Tests of expert placement and of the agreement on an expert map.

mod agreement;
mod agreement_runs;
mod placement;
mod stall;
