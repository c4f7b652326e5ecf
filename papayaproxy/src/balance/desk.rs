//! The load balancer's core: gives each request a seat at an upstream, queues it or refuses it.

use super::arrivals::Arrivals;
use super::ask::{QueueStage, Refusal, Seat, SeatDecision, SeatRequest};
use super::budget::{BudgetDecision, BudgetRule};
use super::constants::HASH_FACTOR;
use super::constants::{
    BROKEN_WAIT, CIRCUITS_OPEN_RATIO, FIRST_EVENT_WEIGHT, RETRY_AFTER_MIN, SCORE_NOISE,
    SILENCE_UNKNOWN, ZONE_BACKOFF, ZONE_FAILURES, ZONE_PENALTY, ZONE_PENALTY_PLAIN,
};
use super::events;
use super::service::Service;
use super::spread::{Candidate, choose};
use super::upstream::{SendOutcome, Upstream};
use crate::base::name::Name;
use crate::limits::CircuitSettings;
use crate::peers::PeerLoads;
use crate::peers::message::UpstreamLoad;
use crate::ranks::message::GroupStatus;
use indexmap::IndexMap;
use std::time::Duration;

/// All upstreams, and the requests that wait for a seat at one.
pub(crate) struct Balancer {
    zone: Name,
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
    zones: IndexMap<Name, (u32, Duration)>,
    /// Mean time of the peers' last load reports.
    reported_at: Duration,
}

impl Balancer {
    /// Creates a balancer without upstreams, for an entry in availability zone `zone`.
    pub(crate) fn new(zone: Name, budget_rule: BudgetRule, circuit: CircuitSettings) -> Self {
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
            reported_at: Duration::ZERO,
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

    /// Updates the number of entries that share the retry budgets; `None` if it is unknown.
    pub(crate) fn share_budgets(&mut self, entries: Option<usize>) {
        self.sharing = entries;
    }

    /// Updates the upstreams of a lock-step group from the status that its lead reports.
    pub(crate) fn observe_group(&mut self, status: &GroupStatus, now: Duration) {
        let open = self.groups.insert(status.group.clone(), status.open);
        if open != Some(status.open) {
            tracing::info!(
                event = events::GROUP_CHANGED,
                group = %status.group.1,
                open = status.open,
                members = status.members.len(),
                "group changed"
            );
        }
        let mean = f64::from(status.requests);
        for upstream in self.upstreams.values_mut() {
            let member = status.members.iter().find(|m| m.address == upstream.address);
            let service = self.services.get(&upstream.service);
            let Some((member, figures)) = member.zip(service.and_then(|s| s.engine.as_ref()))
            else {
                continue;
            };
            upstream.observe_group(status.open, now);
            upstream.rank_slowdown = f64::from(member.slowdown).max(1.0);
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
        let usable = upstreams.filter(|u| u.service == service && u.is_available(now));
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
        if let Some(seat) = self.seat(&request, QueueStage::Arriving, now) {
            return SeatDecision::Grant(seat);
        }
        if let Some(opens_at) = self.limited_until(&request, now)
            && opens_at > request.wait_until()
        {
            let wait = opens_at.saturating_sub(now).max(RETRY_AFTER_MIN);
            return self.refuse(&request, "rate limited", wait.min(request.longest_retry_after()));
        }
        if !request.is_returning && !request.is_resumed && !self.may_be_served(&request, now) {
            // No seat is freed soon. The later the client retries, the more likely it is served.
            return self.refuse(&request, "group broken", request.longest_retry_after());
        }
        self.queue(request, now)
    }

    /// Whether some upstream could take the request once a seat is free.
    fn may_be_served(&self, request: &SeatRequest, now: Duration) -> bool {
        let mut all = self.upstreams.values().filter(|u| u.service == request.service);
        all.any(|u| !u.is_broken(now) && !self.is_zone_in_backoff(&u.zone, now))
    }

    /// When the first upstream that could take the request may get one, if the rate limits of all
    /// keep it from being sent.
    fn limited_until(&self, request: &SeatRequest, now: Duration) -> Option<Duration> {
        let fitting = self.upstreams.values().filter(|u| self.may_get(u, request, now));
        fitting.map(Upstream::limited_until).min().filter(|at| now < *at)
    }

    /// Whether an upstream may get the request, apart from its load and its rate limit.
    fn may_get(&self, upstream: &Upstream, request: &SeatRequest, now: Duration) -> bool {
        upstream.service == request.service
            && !request.excluded.contains(&upstream.id)
            && upstream.is_available(now)
            && upstream.lets_pass(request.is_repeatable, now)
            && !self.is_zone_in_backoff(&upstream.zone, now)
    }

    fn is_zone_in_backoff(&self, zone: &Name, now: Duration) -> bool {
        *zone != self.zone
            && self.zones.get(zone).is_some_and(|(_, backoff_until)| now < *backoff_until)
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
        let others = self.upstreams.values().filter(|u| u.service == *service && u.id != *upstream);
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
        let has_free_slot = |u: &Upstream| u.is_available(now) && u.running() < f64::from(u.slots);
        silence >= current.silence_limit(now)
            && others.any(|u| u.id != current.id && !tried.contains(&u.id) && has_free_slot(u))
    }

    /// Removes a waiting request.
    pub(crate) fn withdraw(&mut self, ticket: u64) {
        for service in self.services.values_mut() {
            service.waiting.retain(|a| a.ticket != ticket);
        }
    }

    /// Decides on waiting requests, after seats were freed or time has passed. Returns the
    /// decisions by ticket.
    pub(crate) fn advance(&mut self, now: Duration) -> Vec<(u64, SeatDecision)> {
        let mut decisions = Vec::new();
        let names: Vec<Name> = self.services.keys().cloned().collect();
        for name in names {
            let mut queue = match self.services.get_mut(&name) {
                Some(service) if !service.waiting.is_empty() => {
                    std::mem::take(&mut service.waiting)
                }
                _ => continue,
            };
            // Resumed streams go first, then requests that can still meet the latency target, then
            // returning ones; the oldest first in each.
            queue.sort_by_key(|a| (!a.is_resumed, a.is_returning, a.arrived));
            let mut remaining = Vec::new();
            for request in queue {
                match self.decide(&request, now) {
                    SeatDecision::Wait => remaining.push(request),
                    decision => decisions.push((request.ticket, decision)),
                }
            }
            if let Some(service) = self.services.get_mut(&name) {
                service.waiting = remaining;
            }
        }
        decisions
    }

    fn decide(&mut self, request: &SeatRequest, now: Duration) -> SeatDecision {
        if let Some(seat) = self.seat(request, QueueStage::Waiting, now) {
            return SeatDecision::Grant(seat);
        }
        let is_broken = !request.is_resumed && !self.may_be_served(request, now);
        let wait_until =
            if is_broken { request.arrived + BROKEN_WAIT } else { request.wait_until() };
        if now < wait_until {
            return SeatDecision::Wait;
        }
        // The wait is over. One more request in a batch delays the others by less than a refusal
        // costs this one.
        match self.seat(request, QueueStage::TimedOut, now) {
            Some(seat) => SeatDecision::Grant(seat),
            None => self.refuse(request, "no upstream takes it", request.longest_retry_after()),
        }
    }

    fn queue(&mut self, request: SeatRequest, now: Duration) -> SeatDecision {
        let is_broken = !self.may_be_served(&request, now);
        let Some(service) = self.services.get_mut(&request.service) else {
            return self.refuse(&request, "service unknown", RETRY_AFTER_MIN);
        };
        let ahead =
            service.waiting.iter().filter(|a| a.is_returning <= request.is_returning).count();
        let expected_wait = (ahead + 1) as f64 / service.free_rate(now);
        let max_wait = request.wait_until().saturating_sub(now).as_secs_f64();
        // The rate of freed seats predicts nothing while no group runs; such a wait is short.
        if request.is_resumed || is_broken || expected_wait <= max_wait {
            service.waiting.push(request);
            return SeatDecision::Wait;
        }
        let fraction = f64::from(request.draw) / f64::from(u32::MAX);
        let range = request.longest_retry_after().saturating_sub(RETRY_AFTER_MIN);
        self.refuse(&request, "no seat in time", RETRY_AFTER_MIN + range.mul_f64(fraction))
    }

    /// Takes a seat at one of the least loaded upstreams that have a free one. A timed-out request
    /// may exceed the limit that keeps all requests on target, but not the slots of the upstream.
    fn seat(&mut self, request: &SeatRequest, stage: QueueStage, now: Duration) -> Option<Seat> {
        let service = self.services.get(&request.service)?;
        let engine = service.engine.as_ref();
        let noise = |u: &Upstream| {
            let hash = (request.draw ^ u.digest).wrapping_mul(HASH_FACTOR);
            f64::from(hash) / f64::from(u32::MAX) * SCORE_NOISE
        };
        let penalty = if engine.is_some() { ZONE_PENALTY } else { ZONE_PENALTY_PLAIN };
        let age = now.saturating_sub(self.reported_at);
        let peers = self.entries.saturating_sub(1) as f64;
        // Requests of the other entries that their load reports do not show yet.
        let unseen = service.send_rate(now) * peers * age.as_secs_f64();
        let (may_be_late, latest_first_event) =
            (request.may_be_late(stage), request.latest_first_event(stage));
        let mut usable = Vec::new();
        let (mut candidates, mut free_seats) = (0, 0.0);
        for (index, u) in self.upstreams.values().enumerate() {
            if !self.may_get(u, request, now) || now < u.limited_until() {
                continue;
            }
            candidates += 1;
            let limit = u.limit(engine, request.gap_target);
            let first_event =
                engine.map(|e| u.first_event_time(e, request.prompt_tokens)).unwrap_or_default();
            let duration = engine.map(|e| first_event + u.answer_time(e)).unwrap_or_default();
            let running =
                if engine.is_some() { u.running_after(age, duration) } else { u.running() };
            // An idle upstream is tried: the slowdown learned under load must not keep it idle.
            let is_idle = u.running() < 1.0;
            let ends_in_time = now + duration <= request.deadline;
            let max_running = if may_be_late { f64::from(u.slots).max(limit) } else { limit };
            let starts_in_time = now + first_event <= latest_first_event;
            if !(is_idle || (ends_in_time && starts_in_time && running + 1.0 <= max_running)) {
                continue;
            }
            free_seats += (max_running - running).max(1.0);
            let zone_penalty = if u.zone == self.zone { 0.0 } else { penalty };
            let latency =
                first_event.as_secs_f64() / request.latency_target.as_secs_f64().max(0.001);
            let score =
                running / limit.max(1.0) + latency * FIRST_EVENT_WEIGHT + zone_penalty + noise(u);
            usable.push(Candidate { index, score, step: 1.0 / limit.max(1.0) });
        }
        // The queues of all entries must not be sent at once to a group that has just formed.
        if stage == QueueStage::Waiting && unseen > free_seats {
            return None;
        }
        let index = choose(usable, unseen, f64::from(request.draw) / f64::from(u32::MAX))?;
        let limit = self.upstreams[index].limit(engine, request.gap_target);
        let upstream = &mut self.upstreams[index];
        tracing::info!(
            event = events::SEAT_TAKEN,
            request = %request.request_id,
            upstream = %upstream.id,
            running = upstream.own_requests,
            others = upstream.peer_requests,
            limit,
            picture_ms = age.as_millis() as u64,
            unseen,
            waited_ms = now.saturating_sub(request.arrived).as_millis() as u64,
            candidates,
            "seat taken"
        );
        // A zone that was unreachable is tried with one request at a time.
        if let Some((failed, backoff_until)) = self.zones.get_mut(&upstream.zone)
            && *failed >= ZONE_FAILURES
        {
            *backoff_until = now + ZONE_BACKOFF;
        }
        let is_probe = upstream.record_start(request.is_repeatable, now);
        upstream.own_tokens = upstream.own_tokens.saturating_add(request.prompt_tokens);
        let (id, record, address) = (upstream.id.clone(), upstream.record, upstream.address);
        if let Some(service) = self.services.get_mut(&request.service) {
            service.record_send(now);
        }
        let prompt_tokens = request.prompt_tokens;
        Some(Seat { upstream: id, record, address, is_probe, prompt_tokens })
    }

    fn refuse(
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
