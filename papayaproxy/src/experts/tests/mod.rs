//! Tests of the agreement, popularity and placement.

mod agreement;
mod agreement_runs;
mod placement;
mod stall;
