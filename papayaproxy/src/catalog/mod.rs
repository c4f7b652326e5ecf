//! The configuration in force, the directory of upstreams, and the age of both.

mod calls;
pub(crate) mod config;
pub(crate) mod constants;
pub(crate) mod directory;
pub(crate) mod evacuations;
pub(crate) mod events;
pub(crate) mod follow;
pub(crate) mod freshness;
pub(crate) mod revision;

#[cfg(test)]
pub(crate) mod tests;

pub(crate) use config::{
    ClientLimits, Config, ConfigParts, EngineFigures, ExpertFigures, Route, RouteKind, Service,
    WarmUp, Workspace,
};
pub(crate) use directory::{Directory, UpstreamRecord, UpstreamState};
pub(crate) use evacuations::EvacuatedZones;
pub(crate) use follow::{Catalog, StoreRole};
pub(crate) use revision::Revision;
