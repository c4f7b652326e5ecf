//! Heartbeats, incarnations, load reports and the live view of processes.

pub(crate) mod codes;
pub(crate) mod events;
pub(crate) mod feed;
pub(crate) mod report;
pub(crate) mod view;

pub use feed::Feed;
pub use report::{LoadReport, LoadedModel};
pub use view::{UpstreamView, View};
