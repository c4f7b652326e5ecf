//! At-most-once delivery: idempotency keys, request outcomes, deadlines and retries.

pub(crate) mod attempt;
pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod events;
pub(crate) mod keys;
pub(crate) mod record;
pub(crate) mod settings;
pub(crate) mod token;
pub(crate) mod window;

#[cfg(test)]
mod tests;

pub use attempt::{Attempts, CallKind, Failure, NextStep, RetryTarget};
pub use keys::{Claim, KeyTable};
pub use record::{BeginDecision, Lookup, RunOutcome, StoredHeader, StoredReply};
pub use settings::{KeySettings, SETTINGS};
pub use token::Token;
