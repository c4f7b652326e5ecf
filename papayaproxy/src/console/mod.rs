//! The operators' web console: edits, validates and offers the next fleet document for download.

pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod draft;
pub(crate) mod edit;
pub(crate) mod effects;
pub(crate) mod error;
pub(crate) mod events;
pub(crate) mod form;
pub(crate) mod guard;
pub(crate) mod merge;
pub(crate) mod pages;
pub(crate) mod plan;
pub(crate) mod routes;
pub(crate) mod server;
pub(crate) mod settings;
pub(crate) mod source;

#[cfg(test)]
mod tests;

pub use server::Console;
pub use settings::{ConsoleSettings, TABLES};
