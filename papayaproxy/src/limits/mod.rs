//! Admission: workspace shares, priorities, retry budgets and circuit breakers.

pub(crate) mod admission;
pub(crate) mod circuit;
pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod events;
pub(crate) mod log;
pub(crate) mod queue;
pub(crate) mod retry;
pub(crate) mod share;

#[cfg(test)]
mod tests;

pub use admission::{
    Admission, AdmissionCounts, AdmissionDecision, AdmissionRefusal, QueueDecision,
};
pub use circuit::{Circuit, CircuitSettings, CircuitState, SETTINGS};
pub use constants::PRIORITY_MAX;
pub use log::{log_capacity, log_retry_denied};
pub use queue::Offer;
pub use retry::RetryBudget;
pub use share::EntryShare;
