//! The balancer's records of upstreams: which the catalog names, and which only have seats left.

use super::ask::Seat;
use super::desk::Balancer;
use super::service::Service;
use super::upstream::Upstream;
use super::warmup::ColdReason;
use crate::catalog::{Config, Directory, UpstreamRecord};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

impl Balancer {
    /// Applies the current configuration and catalog. Unchanged upstreams keep their state.
    pub(crate) fn install(&mut self, config: &Config, directory: &Directory, now: Duration) {
        let rule = self.budget_rule;
        for (name, service) in &config.services {
            let new = || Service::new(rule);
            let known = self.services.entry(name.clone()).or_insert_with(new);
            known.engine = service.engine.clone();
            known.warm_up = service.warm_up;
        }
        let mut next = IndexMap::with_capacity(directory.len());
        // After a crash an address has two catalog entries for a while; the one that started last
        // is valid.
        let mut newest: IndexMap<SocketAddr, u64> = IndexMap::new();
        for (_, entry) in directory.ready() {
            let started_ms = newest.entry(entry.address).or_default();
            *started_ms = entry.started_ms.max(*started_ms);
        }
        let is_starting = self.fleet.is_starting(now);
        for (id, entry) in directory.ready() {
            if newest.get(&entry.address).is_some_and(|newest| *newest > entry.started_ms) {
                continue;
            }
            let known = match self.upstreams.shift_remove(id) {
                Some(upstream) if upstream.is_run_of(entry) => Some(upstream),
                Some(upstream) => {
                    self.depart(upstream);
                    None
                }
                None => self.take_departed(id, entry),
            };
            let is_new = known.is_none();
            let mut upstream = known.unwrap_or_else(|| {
                self.records += 1;
                Upstream::new(id.clone(), self.records, entry, self.circuit)
            });
            let warm_up = self.services.get(&entry.service).and_then(|s| s.warm_up);
            upstream.limit_cold(self.fleet.limit(warm_up), &self.fleet);
            if let Some(warm_up) = warm_up.filter(|_| is_new && !is_starting) {
                upstream.mark_cold(ColdReason::Started, warm_up.time, now);
            }
            upstream.observe_record(entry.cold, directory.revision(id), now);
            next.insert(id.clone(), upstream);
        }
        for (_, upstream) in std::mem::replace(&mut self.upstreams, next) {
            self.depart(upstream);
        }
        self.check_all_evacuated();
        if !self.upstreams.is_empty() {
            self.fleet.record_found();
        }
    }

    /// Keeps the record of an upstream that is no longer in the catalog until its seats are
    /// released.
    fn depart(&mut self, upstream: Upstream) {
        if upstream.own_requests > 0 {
            self.departed.insert(upstream.record, upstream);
        }
    }

    /// The record of an upstream that is back in the catalog in the same run.
    fn take_departed(&mut self, id: &str, entry: &UpstreamRecord) -> Option<Upstream> {
        let mut all = self.departed.values();
        let record = all.find(|u| u.id == id && u.is_run_of(entry)).map(|u| u.record)?;
        self.departed.swap_remove(&record)
    }

    /// The record that counts `seat`, and whether the upstream is in the catalog.
    pub(super) fn record_of(&mut self, seat: &Seat) -> Option<(&mut Upstream, bool)> {
        match self.upstreams.get_mut(&seat.upstream).filter(|u| u.record == seat.record) {
            Some(upstream) => Some((upstream, true)),
            None => self.departed.get_mut(&seat.record).map(|u| (u, false)),
        }
    }

    /// Number of seats that are counted at upstreams.
    pub(crate) fn seats_counted(&self) -> u64 {
        let all = self.upstreams.values().chain(self.departed.values());
        all.map(|u| u64::from(u.own_requests)).sum()
    }
}
