//! Stand-in for the platform: configuration that can be read and watched, a lagging host list and
//! a rate-limited weight store. `PUT` requests are the operator's side, not the system's.

pub(crate) mod budget;
pub(crate) mod command;
pub(crate) mod config;
pub(crate) mod routes;
pub(crate) mod server;
pub(crate) mod weights;

#[cfg(test)]
mod tests;

pub use command::{command, run};
pub use config::{ListedHost, PlatformSwitches};
pub use server::{Platform, PlatformCounts, PlatformSettings, bind};
