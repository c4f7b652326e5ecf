//! The fleet document: format, validation, version order and distribution to processes.

pub(crate) mod check;
pub(crate) mod chunk;
pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod diff;
pub(crate) mod document;
pub(crate) mod error;
pub(crate) mod events;
pub(crate) mod fetch;
pub(crate) mod fields;
pub(crate) mod order;
pub(crate) mod parse;
pub(crate) mod render;
pub(crate) mod value;
pub(crate) mod version;

#[cfg(test)]
mod tests;

pub use check::validate;
pub use chunk::{Chunks, rebuild};
pub use diff::{Change, diff};
pub use document::{
    Document, Fencing, Group, Kind, Leave, Model, Role, Service, Upstream, Workspace, Zone,
};
pub use error::{DocumentError, Problem};
pub use fetch::{Chunk, ChunkPart, ChunkRequest, Fetch, Progress, answer};
pub use order::{Verdict, VersionAge, VersionTracker};
pub use parse::parse;
pub use render::{credential_digest, digest_of, render};
pub use version::Version;
