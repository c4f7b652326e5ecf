//! Load tool: an open loop of model and plain calls whose every answer is verified whole.

pub(crate) mod call;
pub(crate) mod command;
pub(crate) mod event_stream;
pub(crate) mod plan;
pub(crate) mod record;
pub(crate) mod report;
pub(crate) mod runner;

#[cfg(test)]
mod tests;

pub use call::{CallKind, Sample, Verdict};
pub use command::{command, run};
pub use plan::{Credential, ModelTarget, PlainTarget, Plan};
pub use report::{Latency, Report};
pub use runner::run_plan;
