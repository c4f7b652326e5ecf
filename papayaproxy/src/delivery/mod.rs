//! At-most-once delivery: idempotency keys, outcomes, deadlines and retries.

pub(crate) mod codes;
pub(crate) mod events;
