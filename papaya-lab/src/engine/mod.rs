//! Stand-in for a model engine: continuous batching, prefix cache, late load reports and cache
//! events, resume, cancel and orders. Its text follows from the request, so that a checker can
//! tell a whole answer from a damaged one.

pub(crate) mod batch;
pub(crate) mod cache;
pub(crate) mod command;
pub(crate) mod journal;
pub(crate) mod loads;
pub(crate) mod orders;
pub(crate) mod routes;
pub(crate) mod server;
pub(crate) mod settings;
pub(crate) mod state;
pub(crate) mod stream;
pub(crate) mod text;

#[cfg(test)]
mod tests;

pub use command::{command, run};
pub use server::{Engine, bind};
pub use settings::{EngineSettings, LoadedModel, Switches};
pub use state::EngineCounts;
pub use text::{Ask, Checker, Fault, Piece};
