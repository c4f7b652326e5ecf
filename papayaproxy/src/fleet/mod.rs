//! The fleet document: its form, validation, order of generations and distribution.

pub(crate) mod codes;
pub(crate) mod document;
pub(crate) mod events;

pub use document::{
    Document, Fencing, Group, Kind, Leave, Model, Role, Service, Upstream, Workspace, Zone,
};
