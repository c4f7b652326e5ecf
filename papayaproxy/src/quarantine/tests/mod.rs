//! Tests of the quarantine: single decisions, and a fleet of entries that lose messages.

mod fleet;
mod parts;
mod requests;
