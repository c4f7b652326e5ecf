//! Callbacks by which the exchange reads and updates the state of the process.

use super::message::{DemandRate, LimitNews, PromiseNews, UpstreamLoad};
use super::table::{EntryIds, FleetSize, PeerDemand, PeerLoads};
use crate::quarantine::PartNews;
use crate::ranks::message::GroupStatus;
use std::net::SocketAddr;
use std::time::Duration;

/// Takes the peer loads, the size of the fleet, and the mean time at which the load reports arrived.
pub(crate) type ObserveLoads = Box<dyn Fn(&PeerLoads, FleetSize, Duration)>;

/// Takes the sender of promises, and the promises.
pub(crate) type ObservePromises = Box<dyn Fn(SocketAddr, &[PromiseNews])>;

/// Callbacks for the load to report and for the reports received.
pub(crate) struct Hooks {
    /// Returns the load that this entry puts on each upstream.
    pub(crate) loads: Box<dyn Fn() -> Vec<UpstreamLoad>>,
    /// Returns the rates at which this entry receives requests.
    pub(crate) demand: Box<dyn Fn() -> Vec<DemandRate>>,
    /// Called when the peers' demand may have changed.
    pub(crate) observe_demand: Box<dyn Fn(&PeerDemand)>,
    /// Called with the ids of the entries when these may have changed.
    pub(crate) observe_entries: Box<dyn Fn(EntryIds)>,
    /// Called when the peer loads may have changed.
    pub(crate) observe_loads: ObserveLoads,
    /// Called for each status of a lock-step group.
    pub(crate) observe_group: Box<dyn Fn(&GroupStatus)>,
    /// Returns the rate limits that have changed lately.
    pub(crate) limit_news: Box<dyn Fn() -> Vec<LimitNews>>,
    /// Called for each message on rate limits.
    pub(crate) observe_limits: Box<dyn Fn(Vec<LimitNews>)>,
    /// Returns the capacity that this entry has promised to refused requests.
    pub(crate) promise_news: Box<dyn Fn() -> Vec<PromiseNews>>,
    /// Called for each message on promised capacity, with its sender.
    pub(crate) observe_promises: ObservePromises,
    /// Returns recent news of parts of prompts, or all.
    pub(crate) part_news: Box<dyn Fn(bool) -> PartNews>,
    /// Called for each message on parts of prompts.
    pub(crate) observe_parts: Box<dyn Fn(&PartNews)>,
    /// Returns recent news of requests that end with their upstreams, or all.
    pub(crate) request_news: Box<dyn Fn(bool) -> PartNews>,
    /// Called for each message on such requests.
    pub(crate) observe_requests: Box<dyn Fn(&PartNews)>,
}
