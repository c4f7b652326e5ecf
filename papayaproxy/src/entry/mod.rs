//! The entry process: accepts callers' HTTP requests, routes them to agents and answers within the
//! deadline.

pub(crate) mod attempt;
pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod events;
pub(crate) mod gate;
pub(crate) mod keyed;
pub(crate) mod keys_api;
pub(crate) mod links;
pub(crate) mod meters;
pub(crate) mod process;
pub(crate) mod pump;
pub(crate) mod reply;
pub(crate) mod request;
pub(crate) mod route;
pub(crate) mod serve;
pub(crate) mod settings;
pub(crate) mod stream;

pub use process::Entry;
pub use settings::{EntrySettings, TABLES};
