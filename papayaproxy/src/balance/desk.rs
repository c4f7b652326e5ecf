//! The load balancer's core: gives each request a seat at an upstream, queues it or refuses it.

use super::arrivals::Arrivals;
use super::ask::{NoSeat, QueueStage, Refusal, Seat, SeatDecision, SeatRequest};
use super::budget::{BudgetDecision, BudgetRule};
use super::constants::{
    CIRCUITS_OPEN_RATIO, RETRY_AFTER_MIN, SILENCE_UNKNOWN, ZONE_BACKOFF, ZONE_FAILURES,
};
use super::events;
use super::service::Service;
use super::upstream::{SendOutcome, Upstream};
use super::warmup::{ColdReason, FleetView, WarmUpRule};
use crate::base::name::Name;
use crate::limits::CircuitSettings;
use crate::peers::message::{DemandRate, UpstreamLoad, digest};
use crate::peers::{PeerDemand, PeerLoads};
use crate::ranks::message::GroupStatus;
use indexmap::IndexMap;
use std::time::Duration;

/// All upstreams, and the requests that wait for a seat at one.
pub(crate) struct Balancer {
    pub(super) zone: Name,
    pub(super) budget_rule: BudgetRule,
    pub(super) circuit: CircuitSettings,
    pub(super) upstreams: IndexMap<Name, Upstream>,
    /// Upstreams that are not in the catalog while requests at them are in progress, by record.
    pub(super) departed: IndexMap<u64, Upstream>,
    /// Number of upstream records created so far.
    pub(super) records: u64,
    pub(super) services: IndexMap<Name, Service>,
    pub(super) entries: usize,
    /// Entries that share the slack of the retry budgets; `None` while their number is unknown.
    sharing: Option<usize>,
    /// Whether each lock-step group runs passes, by service and group name.
    groups: IndexMap<(Name, Name), bool>,
    /// Per availability zone: consecutive failed connections, and until when it gets no request.
    pub(super) zones: IndexMap<Name, (u32, Duration)>,
    /// Evacuated availability zones, each with the time since when it gets no request.
    pub(super) evacuated: IndexMap<Name, Duration>,
    /// Whether all upstreams are in evacuated zones.
    pub(super) is_all_evacuated: bool,
    /// Mean time of the peers' last load reports.
    pub(super) reported_at: Duration,
    /// Whether requests are admitted by the load that agents report.
    pub(crate) by_load: bool,
    /// What is known of the fleet, for the limits of cold upstreams.
    pub(super) fleet: FleetView,
    /// Whether the entries coordinate the times at which refused clients return.
    pub(super) is_coordinated: bool,
}

impl Balancer {
    /// Creates a balancer without upstreams, for an entry in availability zone `zone` that started
    /// at `started`.
    pub(crate) fn new(
        zone: Name,
        budget_rule: BudgetRule,
        circuit: CircuitSettings,
        warm_up: WarmUpRule,
        started: Duration,
    ) -> Self {
        Self {
            zone,
            budget_rule,
            circuit,
            upstreams: IndexMap::new(),
            departed: IndexMap::new(),
            records: 0,
            services: IndexMap::new(),
            entries: 1,
            sharing: None,
            groups: IndexMap::new(),
            zones: IndexMap::new(),
            evacuated: IndexMap::new(),
            is_all_evacuated: false,
            reported_at: Duration::ZERO,
            by_load: false,
            fleet: FleetView::new(warm_up, started),
            is_coordinated: false,
        }
    }

    /// Updates the peers' loads as of `reported_at`, and the number of entries with this one.
    pub(crate) fn observe_peers(
        &mut self,
        running: &PeerLoads,
        entries: usize,
        reported_at: Duration,
    ) {
        self.entries = entries;
        self.reported_at = reported_at;
        for upstream in self.upstreams.values_mut() {
            let (requests, tokens) = running.get(&upstream.digest).copied().unwrap_or_default();
            (upstream.peer_requests, upstream.peer_tokens) = (requests, tokens);
        }
    }

    /// Updates the peers' demand.
    pub(crate) fn observe_demand(&mut self, demand: &PeerDemand) {
        for (name, service) in &mut self.services {
            let name = digest(name);
            service.demand.clear_peers();
            for ((_, priority), rate) in demand.iter().filter(|((service, _), _)| *service == name)
            {
                service.demand.observe_peers(*priority, *rate);
            }
        }
    }

    /// Demand for the services with an engine at this entry, to be sent to the peers.
    pub(crate) fn demand(&self, now: Duration) -> Vec<DemandRate> {
        let is_limited = |service: &Service| self.by_load && service.engine.is_some();
        let engines = self.services.iter().filter(|(_, service)| is_limited(service));
        engines.flat_map(|(name, service)| service.demand.rates(digest(name), now)).collect()
    }

    /// Updates the number of entries that share the retry budgets and the limits of cold upstreams;
    /// `None` if it is unknown.
    pub(crate) fn share_budgets(&mut self, entries: Option<usize>) {
        self.sharing = entries;
        self.observe_fleet_size(entries.map(|n| n.max(self.entries)));
    }

    /// Updates the upstreams of a lock-step group from the status that its lead reports.
    pub(crate) fn observe_group(&mut self, status: &GroupStatus, now: Duration) {
        let open = self.groups.insert(status.group.clone(), status.open);
        let has_formed = status.open && open == Some(false);
        if open != Some(status.open) {
            tracing::info!(
                event = events::GROUP_CHANGED,
                group = %status.group.1,
                open = status.open,
                members = status.members.len(),
                "group changed"
            );
        }
        self.observe_outage(status, now);
        let mean = f64::from(status.requests);
        for upstream in self.upstreams.values_mut() {
            let member = status.members.iter().find(|m| m.address == upstream.address);
            let service = self.services.get(&upstream.service);
            let Some((member, figures)) = member.zip(service.and_then(|s| s.engine.as_ref()))
            else {
                continue;
            };
            upstream.observe_group(status.open, now);
            if has_formed {
                upstream.start_warm_up(ColdReason::GroupFormed, now);
            }
            upstream.rank_slowdown = f64::from(member.slowdown).max(1.0);
            let age = Duration::from_millis(status.loads_ms.into());
            upstream.observe_load(member.requests, now.saturating_sub(age));
            match status.pass_ms > 0.0 {
                true => upstream.slowdown.observe_pass(figures, mean, f64::from(status.pass_ms)),
                false => upstream.slowdown.observe_idle(),
            }
        }
    }

    /// Longest time of a request to `service` with `prompt` prompt tokens and at most `answer`
    /// tokens of output, at the slowest upstream that it could be sent to. `None` if nothing bounds
    /// it: the service has no engine figures, or a group that it could be sent to is not known to
    /// run passes.
    pub(crate) fn longest_time(
        &self,
        service: &str,
        prompt: u32,
        answer: u32,
        now: Duration,
    ) -> Option<Duration> {
        let figures = self.services.get(service)?.engine.as_ref()?;
        let upstreams = self.upstreams.values();
        let usable = upstreams
            .filter(|u| u.service == service && u.is_available(now) && !self.is_evacuated(&u.zone));
        let times = usable.map(|u| {
            let is_bound = figures.experts.is_none() || u.is_confirmed(now);
            is_bound.then(|| u.longest_time(figures, prompt, answer))
        });
        times.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Load report for the peers: what this entry runs at each upstream.
    pub(crate) fn loads(&self) -> Vec<UpstreamLoad> {
        let busy = self.upstreams.values().filter(|u| u.own_requests > 0);
        let saturate = |n: u32| n.min(u32::from(u16::MAX)) as u16;
        busy.map(|u| UpstreamLoad {
            upstream: u.digest,
            running: saturate(u.own_requests),
            tokens: u.own_tokens,
        })
        .collect()
    }

    /// Requests that wait for a seat.
    pub(crate) fn waiting(&self) -> usize {
        self.services.values().map(|s| s.waiting.len()).sum()
    }

    /// Upstreams of the current catalog.
    pub(crate) fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// Counts a client's request in the retry budget of its service. Its attempts may be on their
    /// way for `transit`.
    pub(crate) fn count_request(&mut self, service: &str, transit: Duration, now: Duration) {
        if let Some(service) = self.services.get_mut(service) {
            service.budget.count_request(transit, now);
        }
    }

    /// Takes one retry for the request with `arrivals` from the budget of a service, if that allows
    /// it; `None` if the service is unknown.
    pub(crate) fn try_retry(
        &mut self,
        service: &str,
        arrivals: &mut Arrivals,
        now: Duration,
    ) -> Option<BudgetDecision> {
        let entries = self.sharing;
        self.services.get_mut(service).map(|s| s.budget.try_take(arrivals, entries, now))
    }

    /// Updates until when the retries of the request with `arrivals` stand in the budget.
    pub(crate) fn settle_retries(&mut self, service: &str, arrivals: &mut Arrivals) {
        if let Some(service) = self.services.get_mut(service) {
            service.budget.settle(arrivals);
        }
    }

    /// Decides on a request that just arrived or needs another upstream.
    pub(crate) fn offer(&mut self, request: SeatRequest, now: Duration) -> SeatDecision {
        if !self.services.contains_key(&request.service) {
            return self.refuse(&request, "service unknown", RETRY_AFTER_MIN);
        }
        if !self.upstreams.values().any(|u| u.service == request.service) {
            return self.refuse(&request, "no upstream", RETRY_AFTER_MIN);
        }
        if self.has_only_evacuated(&request) {
            return self.refuse_evacuated(&request);
        }
        let seat = self.seat(&request, QueueStage::Arriving, now);
        // After the decision, which must not count the request that it is on.
        if self.by_load
            && request.is_first_attempt()
            && let Some(service) = self.services.get_mut(&request.service)
            && service.engine.is_some()
        {
            service.demand.record(request.priority, &request.workspace, now);
        }
        match seat {
            Ok(seat) => return SeatDecision::Grant(seat),
            Err(NoSeat::OverCapacity) => {
                let wait = self.retry_after(&request, request.random_retry_after(), now);
                return self.refuse(&request, "over capacity", wait);
            }
            Err(NoSeat::Full) => {}
        }
        if let Some((opens_at, reason)) = self.limited_until(&request, now)
            && opens_at > request.wait_until()
        {
            let wait = opens_at.saturating_sub(now).max(RETRY_AFTER_MIN);
            return self.refuse(&request, reason.as_str(), wait.min(request.longest_retry_after()));
        }
        if !request.is_returning && !request.is_resumed && !self.may_be_served(&request, now) {
            // No seat is freed soon. The later the client retries, the more likely it is served.
            let retry_after = self.retry_after(&request, request.longest_retry_after(), now);
            return self.refuse(&request, "group broken", retry_after);
        }
        self.queue(request, now)
    }

    /// Releases a seat and records how the attempt ended.
    pub(crate) fn release(&mut self, seat: &Seat, outcome: SendOutcome, now: Duration) {
        let Some((upstream, _)) = self.record_of(seat) else { return };
        let service = upstream.service.clone();
        let engine = self.services.get(&service).and_then(|s| s.engine.as_ref());
        let in_group = engine.is_some_and(|e| e.experts.is_some());
        let Some((upstream, is_current)) = self.record_of(seat) else { return };
        upstream.own_tokens = upstream.own_tokens.saturating_sub(seat.prompt_tokens);
        let should_open = upstream.record_end(outcome, seat.is_probe, in_group, now);
        if !is_current {
            if upstream.own_requests == 0 {
                self.departed.swap_remove(&seat.record);
            }
            return;
        }
        let Some(upstream) = self.upstreams.get_mut(&seat.upstream) else { return };
        let unready = upstream.unready_until(now).filter(|_| outcome == SendOutcome::Full);
        let (failed, backoff_until) = self.zones.entry(upstream.zone.clone()).or_default();
        match outcome {
            SendOutcome::Unreached => {
                *failed += 1;
                if *failed >= ZONE_FAILURES {
                    *backoff_until = now + ZONE_BACKOFF;
                }
            }
            SendOutcome::Abandoned | SendOutcome::Silent | SendOutcome::Stale => {}
            _ => (*failed, *backoff_until) = (0, Duration::ZERO),
        }
        if should_open
            && self.may_take_out(&seat.upstream, &service)
            && let Some(upstream) = self.upstreams.get_mut(&seat.upstream)
        {
            upstream.open_circuit(outcome, now);
        }
        if let Some(until) = unready {
            self.mark_unconfirmed_unready(&service, until, now);
        }
        if let Some(service) = self.services.get_mut(&service) {
            service.record_freed(now);
        }
    }

    /// Whether the circuit of `upstream` may be open besides those that are: a bad minute must not empty
    /// the service.
    fn may_take_out(&self, upstream: &Name, service: &Name) -> bool {
        let others = self
            .upstreams
            .values()
            .filter(|u| u.service == *service && u.id != *upstream && !self.is_evacuated(&u.zone));
        let (count, out) =
            others.fold((0, 0), |(n, out), u| (n + 1, out + usize::from(u.is_out())));
        let most = ((count + 1) as f64 * CIRCUITS_OPEN_RATIO).max(1.0) as usize;
        count > out && out < most
    }

    /// A replica that rejects requests under low load belongs to a group that does not run passes.
    /// Until its agents report, all replicas that are not confirmed to run count as unready too.
    fn mark_unconfirmed_unready(&mut self, service: &Name, until: Duration, now: Duration) {
        let engine = self.services.get(service).and_then(|s| s.engine.as_ref());
        if engine.is_none_or(|e| e.experts.is_none()) {
            return;
        }
        for upstream in self.upstreams.values_mut().filter(|u| u.service == *service) {
            if !upstream.is_confirmed(now) {
                upstream.mark_unready(until);
            }
        }
    }

    /// Records that the answer of a request has begun, which means that its prompt has been read.
    pub(crate) fn observe_answer(&mut self, seat: &mut Seat, now: Duration) {
        if let Some((upstream, _)) = self.record_of(seat) {
            upstream.observe_answer(now);
            upstream.own_tokens = upstream.own_tokens.saturating_sub(seat.prompt_tokens);
        }
        seat.prompt_tokens = 0;
    }

    /// Learns from the gap between two events of a stream.
    pub(crate) fn observe_gap(&mut self, upstream: &str, gap: Duration) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        let service = self.services.get(&upstream.service);
        if let Some(figures) = service.and_then(|s| s.engine.as_ref()) {
            let running = upstream.running();
            upstream.slowdown.observe_gap(figures, running, gap);
        }
    }

    /// Whether a stream at `upstream` that has been silent for `silence` should move to another
    /// upstream than those in `tried`.
    pub(crate) fn should_move(
        &self,
        upstream: &str,
        tried: &[Name],
        silence: Duration,
        now: Duration,
    ) -> bool {
        // No entry knows the state of an upstream that has left the catalog, so its stream moves
        // even if no other upstream has a free slot.
        let Some(current) = self.upstreams.get(upstream) else { return silence >= SILENCE_UNKNOWN };
        let mut others = self.upstreams.values().filter(|u| u.service == current.service);
        let has_free_slot = |u: &Upstream| {
            u.is_available(now) && !self.is_evacuated(&u.zone) && u.running() < f64::from(u.slots)
        };
        silence >= current.silence_limit(now)
            && others.any(|u| u.id != current.id && !tried.contains(&u.id) && has_free_slot(u))
    }

    pub(super) fn refuse(
        &self,
        request: &SeatRequest,
        reason: &'static str,
        retry_after: Duration,
    ) -> SeatDecision {
        tracing::info!(
            event = events::SEAT_REFUSED,
            request = %request.request_id,
            service = %request.service,
            reason,
            waiting = self.waiting(),
            retry_ms = retry_after.as_millis() as u64,
            "seat refused"
        );
        SeatDecision::Refuse(Refusal { reason, retry_after })
    }
}
