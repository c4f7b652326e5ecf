//! Cluster membership: heartbeats, liveness, load reports and replication of the fleet document.

pub(crate) mod actor;
pub(crate) mod beats;
pub(crate) mod budget;
pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod error;
pub(crate) mod events;
pub(crate) mod feed;
pub(crate) mod grid;
pub(crate) mod joined;
pub(crate) mod log;
pub(crate) mod members;
pub(crate) mod node;
pub(crate) mod peer;
pub(crate) mod platform;
pub(crate) mod report;
pub(crate) mod row;
pub(crate) mod settings;
pub(crate) mod spread;
pub(crate) mod traffic;
pub(crate) mod view;

#[cfg(test)]
mod tests;

pub use beats::TickResult;
pub use error::NodeError;
pub use feed::Feed;
pub use joined::JoinedProcess;
pub use members::{
    Announcement, Candidate, Change, DocumentStatus, HeartbeatResult, Members, Outgoing,
};
pub use node::{AddressFilter, Node, NodeSettings};
pub use peer::Liveness;
pub use platform::PlatformCalls;
pub use report::{LoadReport, LoadedModel};
pub use row::{Datagram, Heartbeat, Load, Process, ProcessRole, ProcessState, ProcessUpdate, Row};
pub use settings::{SETTINGS, read_peers};
pub use traffic::Traffic;
pub use view::{UpstreamView, View};
