//! Admission of requests to a service whose replicas report their load.
//!
//! A request is admitted only if it fits into the rate at which the service can start requests and
//! still serve all of them on time. Every entry computes the same rate from the same reports, so that
//! the fleet stays at its limit without messages between the entries. If demand exceeds the rate, the
//! least urgent requests are refused first.

use super::constants::{ADMISSION_CORRECTION, ADMISSION_MARGIN, DEMAND_DECAY, PRIORITY_FLOOR};
use super::rate::DecayedRate;
use super::shares::Shares;
use crate::base::name::Name;
use crate::peers::constants::RATE_UNITS;
use crate::peers::message::DemandRate;
use indexmap::IndexMap;
use std::time::Duration;

/// Rate at which a service can start requests, summed over its replicas.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    /// Requests a second, of the replicas whose load is known.
    rate: f64,
    /// Replicas whose load is known.
    known: u32,
    /// Replicas that may get requests.
    usable: u32,
}

impl Capacity {
    /// Adds a replica that may run `limit` requests, each for `duration`. `load` counts its running
    /// and waiting requests; `None` if it is not known.
    pub(crate) fn add(&mut self, load: Option<f64>, limit: f64, duration: Duration) {
        self.usable += 1;
        let Some(load) = load else { return };
        self.known += 1;
        // Requests end at the rate of those that run; a load beside the limit is corrected within a
        // fixed time.
        let ends = load.min(limit) / duration.as_secs_f64().max(0.001);
        self.rate += ends + (limit - load) / ADMISSION_CORRECTION.as_secs_f64();
    }

    /// Requests a second of all replicas, those whose load is not known taken as the others; `None` if
    /// too few report their load.
    fn total(&self) -> Option<f64> {
        let is_known = self.known > 0 && self.known * 2 >= self.usable;
        is_known.then(|| self.rate.max(0.0) * f64::from(self.usable) / f64::from(self.known))
    }
}

/// Demand for one service: at this entry, and at its peers by their last heartbeats.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    own: IndexMap<u8, DecayedRate>,
    peers: IndexMap<u8, f64>,
    /// By priority.
    shares: IndexMap<u8, Shares>,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Applicant<'a> {
    /// 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) workspace: &'a Name,
    /// Uniform from 0 to 1.
    pub(crate) draw: f64,
}

/// Whether a request is admitted, with the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Verdict {
    pub(crate) is_admitted: bool,
    /// Requests a second that the service can start.
    pub(crate) capacity: f64,
    /// Requests a second that all entries receive.
    pub(crate) demand: f64,
    /// The same of the other entries.
    pub(crate) peers: f64,
    /// Part of the demand of the request's priority that is admitted.
    pub(crate) fraction: f64,
}

impl Demand {
    /// Counts a request that arrived at this entry.
    pub(crate) fn record(&mut self, priority: u8, workspace: &Name, now: Duration) {
        let new = || DecayedRate::new(DEMAND_DECAY);
        self.own.entry(priority).or_insert_with(new).record(now);
        self.shares.entry(priority).or_default().record(workspace, now);
    }

    /// Updates the rate at which the peers together receive requests of a priority.
    pub(crate) fn observe_peers(&mut self, priority: u8, per_second: f64) {
        self.peers.insert(priority, per_second);
    }

    /// Forgets what the peers receive, before their current rates are set.
    pub(crate) fn clear_peers(&mut self) {
        self.peers.clear();
    }

    /// Own rates, to be sent to the peers.
    pub(crate) fn rates(&self, service: u32, now: Duration) -> impl Iterator<Item = DemandRate> {
        let rates = self.own.iter().map(move |(priority, rate)| DemandRate {
            service,
            priority: *priority,
            // A conversion from a float saturates.
            rate: (rate.now(now) * RATE_UNITS) as u16,
        });
        rates.filter(|demand| demand.rate > 0)
    }

    /// Requests a second of one priority at all entries.
    fn total(&self, priority: u8, now: Duration) -> f64 {
        let own = self.own.get(&priority).map_or(0.0, |rate| rate.now(now));
        own + self.peers.get(&priority).copied().unwrap_or_default()
    }

    fn priorities(&self) -> impl Iterator<Item = u8> {
        let others = self.peers.keys().filter(|p| !self.own.contains_key(*p));
        self.own.keys().chain(others).copied()
    }

    /// Decides on a request; `None` if too few replicas report their load.
    pub(crate) fn verdict(
        &self,
        capacity: &Capacity,
        request: Applicant<'_>,
        now: Duration,
    ) -> Option<Verdict> {
        let room = capacity.total()? * ADMISSION_MARGIN;
        let own_class = self.total(request.priority, now);
        let (mut urgent, mut demand) = (0.0, 0.0);
        for priority in self.priorities() {
            let rate = self.total(priority, now);
            demand += rate;
            urgent += if priority < request.priority { rate } else { 0.0 };
        }
        // The urgent come first, but no priority is shut out: each keeps a part of the room in
        // proportion to its demand.
        let floor = PRIORITY_FLOOR * room / demand.max(f64::MIN_POSITIVE);
        let left = room * (1.0 - PRIORITY_FLOOR) - urgent;
        let fraction = (left / own_class.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0) + floor;
        let shares = self.shares.get(&request.priority);
        let share = shares.map_or(fraction, |s| s.fraction(request.workspace, fraction));
        let is_admitted = demand <= room || request.draw < share;
        let peers = self.peers.values().sum();
        Some(Verdict { is_admitted, capacity: room, demand, peers, fraction: share.min(1.0) })
    }
}
