//! Availability zones that the operator evacuates: their upstreams get no new requests, while those in
//! progress run to completion.

use super::ask::{SeatDecision, SeatRequest};
use super::desk::Balancer;
use super::events;
use super::upstream::Upstream;
use super::warmup::ColdReason;
use crate::base::name::Name;
use std::collections::BTreeSet;
use std::time::Duration;

impl Balancer {
    /// Updates the set of evacuated zones. Upstreams of a zone whose evacuation has ended warm up.
    pub(crate) fn observe_evacuations(&mut self, zones: &BTreeSet<Name>, now: Duration) {
        let ended: Vec<(Name, Duration)> =
            self.evacuated.extract_if(.., |zone, _| !zones.contains(zone)).collect();
        for (zone, since) in ended {
            // They may have become cold during the evacuation.
            for upstream in self.all_upstreams_mut().filter(|u| u.zone == zone) {
                upstream.start_warm_up(ColdReason::Readmitted, now);
            }
            tracing::warn!(
                event = events::ZONE_READMITTED,
                %zone,
                upstreams = self.upstreams_in(&zone),
                requests = self.requests_in(&zone),
                evacuated_ms = now.saturating_sub(since).as_millis() as u64,
                "zone gets requests again"
            );
        }
        for zone in zones {
            if self.evacuated.contains_key(zone) {
                continue;
            }
            self.evacuated.insert(zone.clone(), now);
            tracing::warn!(
                event = events::ZONE_EVACUATED,
                %zone,
                upstreams = self.upstreams_in(zone),
                requests = self.requests_in(zone),
                "zone gets no new requests"
            );
        }
        self.check_all_evacuated();
    }

    /// Logs when the last zone with upstreams has been evacuated.
    pub(super) fn check_all_evacuated(&mut self) {
        let mut all = self.upstreams.values();
        let is_all = !self.upstreams.is_empty() && all.all(|u| self.is_evacuated(&u.zone));
        if is_all && !self.is_all_evacuated {
            let (upstreams, zones) = (self.upstreams.len(), self.evacuated.len());
            let event = events::ALL_ZONES_EVACUATED;
            tracing::warn!(event, upstreams, zones, "all upstreams are in evacuated zones");
        }
        self.is_all_evacuated = is_all;
    }

    /// The evacuated zones, each with this entry's requests in progress there.
    pub(crate) fn evacuations(&self) -> Vec<(Name, u64)> {
        self.evacuated.keys().map(|zone| (zone.clone(), self.requests_in(zone))).collect()
    }

    /// Whether `zone` is evacuated.
    pub(super) fn is_evacuated(&self, zone: &Name) -> bool {
        !self.evacuated.is_empty() && self.evacuated.contains_key(zone)
    }

    /// Whether all upstreams that the request may be sent to are in evacuated zones, so that none
    /// will take it however long it waits.
    pub(super) fn has_only_evacuated(&self, request: &SeatRequest) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let all = self.upstreams.values().filter(|u| u.service == request.service);
        let mut allowed = all.filter(|u| !request.excluded.contains(&u.id)).peekable();
        allowed.peek().is_some() && allowed.all(|u| self.is_evacuated(&u.zone))
    }

    /// Refuses a request that only upstreams in evacuated zones could take.
    pub(super) fn refuse_evacuated(&self, request: &SeatRequest) -> SeatDecision {
        // The end of the evacuation is not known; later is more likely after it.
        self.refuse(request, "zone evacuated", request.longest_retry_after())
    }

    fn upstreams_in(&self, zone: &Name) -> usize {
        self.upstreams.values().filter(|u| u.zone == *zone).count()
    }

    /// Requests of this entry in progress in `zone`, those at upstreams that have left included.
    fn requests_in(&self, zone: &Name) -> u64 {
        let all = self.upstreams.values().chain(self.departed.values());
        all.filter(|u| u.zone == *zone).map(|u| u64::from(u.own_requests)).sum()
    }

    fn all_upstreams_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.values_mut().chain(self.departed.values_mut())
    }
}
