//! The core: gives each request a seat at an upstream, lets it wait, or refuses it.

use super::ask::{QueueStage, Refusal, Seat, SeatDecision, SeatRequest};
use super::budget::BudgetRule;
use super::constants::{
    FIRST_WEIGHT, RETURN_LEAST, SCORE_NOISE, SILENCE_UNKNOWN, WAIT_BROKEN, ZONE_BIAS,
    ZONE_BIAS_PLAIN, ZONE_FAILURES, ZONE_TIME,
};
use super::events;
use super::service::Service;
use super::spread::{Candidate, choose};
use super::upstream::{SendOutcome, Upstream};
use crate::base::name::Name;
use crate::catalog::{Config, Directory};
use crate::limits::CircuitSettings;
use crate::peers::PeerLoads;
use crate::peers::message::{UpstreamLoad, digest};
use crate::ranks::message::GroupStatus;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// All upstreams, and the requests that wait for them.
pub(crate) struct Balancer {
    zone: Name,
    rule: BudgetRule,
    circuit: CircuitSettings,
    upstreams: IndexMap<Name, Upstream>,
    services: IndexMap<Name, Service>,
    entries: usize,
    /// Groups by service and name, and whether they run passes.
    groups: IndexMap<(Name, Name), bool>,
    /// Availability zones: failed connections in a row, and until when nothing is sent there.
    zones: IndexMap<Name, (u32, Duration)>,
    /// When the peers told their load, on average.
    picture: Duration,
}

impl Balancer {
    /// A desk without upstreams, in the availability zone `zone`.
    pub(crate) fn new(zone: Name, rule: BudgetRule, circuit: CircuitSettings) -> Self {
        Self {
            zone,
            rule,
            circuit,
            upstreams: IndexMap::new(),
            services: IndexMap::new(),
            entries: 1,
            groups: IndexMap::new(),
            zones: IndexMap::new(),
            picture: Duration::ZERO,
        }
    }

    /// Takes the configuration and the upstreams in force.
    pub(crate) fn install(&mut self, config: &Config, directory: &Directory) {
        let rule = self.rule;
        for (name, service) in &config.services {
            let new = || Service::new(rule);
            let known = self.services.entry(name.clone()).or_insert_with(new);
            known.engine = service.engine.clone();
        }
        let mut next = IndexMap::with_capacity(directory.len());
        // After a crash an address has two entries for a while; the later start is there.
        let mut newest: IndexMap<SocketAddr, u64> = IndexMap::new();
        for (_, entry) in directory.ready() {
            let born = newest.entry(entry.address).or_default();
            *born = entry.started_ms.max(*born);
        }
        for (id, entry) in directory.ready() {
            if newest.get(&entry.address).is_some_and(|born| *born > entry.started_ms) {
                continue;
            }
            let same = |u: &Upstream| {
                u.born == entry.started_ms
                    && u.address == entry.address
                    && u.service == entry.service
            };
            let known = self.upstreams.shift_remove(id).filter(same);
            let new = || Upstream::new(id.clone(), digest(id), entry, self.circuit);
            next.insert(id.clone(), known.unwrap_or_else(new));
        }
        self.upstreams = next;
    }

    /// Takes what the peers run, as of `told`, and how many entries there are.
    pub(crate) fn observe_peers(&mut self, running: &PeerLoads, entries: usize, told: Duration) {
        self.entries = entries;
        self.picture = told;
        for upstream in self.upstreams.values_mut() {
            let (others, tokens) = running.get(&upstream.digest).copied().unwrap_or_default();
            (upstream.others, upstream.others_tokens) = (others, tokens);
        }
    }

    /// Takes the picture of a lock-step group from its lead.
    pub(crate) fn observe_group(&mut self, picture: &GroupStatus, now: Duration) {
        let open = self.groups.insert(picture.group.clone(), picture.open);
        if open != Some(picture.open) {
            tracing::info!(
                event = events::GROUP_CHANGED,
                group = %picture.group.1,
                open = picture.open,
                members = picture.members.len(),
                "group changed"
            );
        }
        let requests: u32 = picture.members.iter().map(|m| u32::from(m.requests)).sum();
        let mean = f64::from(requests) / picture.members.len().max(1) as f64;
        for upstream in self.upstreams.values_mut() {
            let member = picture.members.iter().find(|m| m.address == upstream.address);
            let service = self.services.get(&upstream.service);
            let Some((member, figures)) = member.zip(service.and_then(|s| s.engine.as_ref()))
            else {
                continue;
            };
            upstream.observe_group(picture.open, now);
            upstream.slowness = f64::from(member.slowdown).max(1.0);
            match picture.pass_ms > 0.0 {
                true => upstream.pace.set(figures, mean, f64::from(picture.pass_ms)),
                false => upstream.pace.rest(),
            }
        }
    }

    /// What this entry runs, for its peers.
    pub(crate) fn loads(&self) -> Vec<UpstreamLoad> {
        let busy = self.upstreams.values().filter(|u| u.own > 0);
        let short = |n: u32| n.min(u32::from(u16::MAX)) as u16;
        busy.map(|u| UpstreamLoad {
            upstream: u.digest,
            running: short(u.own),
            tokens: u.own_tokens,
        })
        .collect()
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.services.values().map(|s| s.waiting.len()).sum()
    }

    /// Upstreams in use.
    pub(crate) fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// Counts a client's request, of which repeats are a part.
    pub(crate) fn count_request(&mut self, service: &str, now: Duration) {
        if let Some(service) = self.services.get_mut(service) {
            service.budget.count_request(now);
        }
    }

    /// Whether one more send of a request that was sent before is within the budget.
    pub(crate) fn try_retry(&mut self, service: &str, now: Duration) -> bool {
        let entries = self.entries;
        let service = self.services.get_mut(service);
        service.is_some_and(|s| s.budget.try_take(entries, now))
    }

    /// Decides on a request that has just come, or needs another upstream.
    pub(crate) fn offer(&mut self, ask: SeatRequest, now: Duration) -> SeatDecision {
        if !self.services.contains_key(&ask.service) {
            return self.refuse(&ask, "service unknown", RETURN_LEAST);
        }
        if !self.upstreams.values().any(|u| u.service == ask.service) {
            return self.refuse(&ask, "no upstream", RETURN_LEAST);
        }
        if let Some(seat) = self.seat(&ask, QueueStage::Arriving, now) {
            return SeatDecision::Grant(seat);
        }
        if !ask.is_returning && !ask.is_resumed && !self.may_open(&ask, now) {
            // Nothing frees up soon. The later the caller returns, the likelier it is served.
            return self.refuse(&ask, "group broken", ask.latest_return());
        }
        self.queue(ask, now)
    }

    /// Whether some upstream could take the request once it has room.
    fn may_open(&self, ask: &SeatRequest, now: Duration) -> bool {
        let mut all = self.upstreams.values().filter(|u| u.service == ask.service);
        all.any(|u| !u.is_broken(now) && !self.is_zone_barred(&u.zone, now))
    }

    fn is_zone_barred(&self, zone: &Name, now: Duration) -> bool {
        *zone != self.zone && self.zones.get(zone).is_some_and(|(_, barred)| now < *barred)
    }

    /// Hands a seat back.
    pub(crate) fn release(&mut self, seat: &Seat, end: SendOutcome, now: Duration) {
        let Some(upstream) = self.upstreams.get_mut(&seat.upstream) else { return };
        upstream.own_tokens = upstream.own_tokens.saturating_sub(seat.prompt_tokens);
        upstream.end(end, seat.is_probe, now);
        let closed = upstream.closed_until(now).filter(|_| end == SendOutcome::Full);
        let (failed, barred) = self.zones.entry(upstream.zone.clone()).or_default();
        match end {
            SendOutcome::Unreached => {
                *failed += 1;
                if *failed >= ZONE_FAILURES {
                    *barred = now + ZONE_TIME;
                }
            }
            SendOutcome::Abandoned | SendOutcome::Silent | SendOutcome::Stale => {}
            _ => (*failed, *barred) = (0, Duration::ZERO),
        }
        let service = upstream.service.clone();
        if let Some(until) = closed {
            self.close_unknown(&service, until, now);
        }
        if let Some(service) = self.services.get_mut(&service) {
            service.count_freed(now);
        }
    }

    /// A replica that rejects though it is idle belongs to a group that does not run. Before its
    /// agents have told, that is taken to hold for all replicas of which nothing better is known.
    fn close_unknown(&mut self, service: &Name, until: Duration, now: Duration) {
        let engine = self.services.get(service).and_then(|s| s.engine.as_ref());
        if engine.is_none_or(|e| e.experts.is_none()) {
            return;
        }
        for upstream in self.upstreams.values_mut().filter(|u| u.service == *service) {
            if !upstream.is_known(now) {
                upstream.close(until);
            }
        }
    }

    /// Takes note that a request's answer has begun, so that its prompt is read.
    pub(crate) fn observe_answer(&mut self, seat: &mut Seat, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(&seat.upstream) {
            upstream.observe_answer(now);
            upstream.own_tokens = upstream.own_tokens.saturating_sub(seat.prompt_tokens);
        }
        seat.prompt_tokens = 0;
    }

    /// Takes the gap between two events of a stream.
    pub(crate) fn observe_gap(&mut self, upstream: &str, gap: Duration) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        let service = self.services.get(&upstream.service);
        if let Some(figures) = service.and_then(|s| s.engine.as_ref()) {
            let running = upstream.running();
            upstream.pace.observe(figures, running, gap);
        }
    }

    /// Whether a stream at `upstream` that has been silent for `silence` is better taken elsewhere.
    pub(crate) fn should_move(&self, upstream: &str, silence: Duration, now: Duration) -> bool {
        // An upstream that is gone is known to nobody any more; its stream is not waited for.
        let Some(silent) = self.upstreams.get(upstream) else { return silence >= SILENCE_UNKNOWN };
        let mut others = self.upstreams.values().filter(|u| u.service == silent.service);
        let free = |u: &Upstream| u.allows(now) && u.running() < f64::from(u.slots);
        silence >= silent.silence(now) && others.any(|u| u.id != silent.id && free(u))
    }

    /// Forgets a waiting request.
    pub(crate) fn withdraw(&mut self, ticket: u64) {
        for service in self.services.values_mut() {
            service.waiting.retain(|a| a.ticket != ticket);
        }
    }

    /// Decides on waiting requests, after seats were freed or time has passed.
    pub(crate) fn advance(&mut self, now: Duration) -> Vec<(u64, SeatDecision)> {
        let mut steps = Vec::new();
        let names: Vec<Name> = self.services.keys().cloned().collect();
        for name in names {
            let mut waiting = match self.services.get_mut(&name) {
                Some(service) if !service.waiting.is_empty() => {
                    std::mem::take(&mut service.waiting)
                }
                _ => continue,
            };
            // Requests that can still be on time go first, the oldest of them before the others.
            waiting.sort_by_key(|a| (!a.is_resumed, a.is_returning, a.arrived));
            let mut kept = Vec::new();
            for ask in waiting {
                match self.decide(&ask, now) {
                    SeatDecision::Wait => kept.push(ask),
                    step => steps.push((ask.ticket, step)),
                }
            }
            if let Some(service) = self.services.get_mut(&name) {
                service.waiting = kept;
            }
        }
        steps
    }

    fn decide(&mut self, ask: &SeatRequest, now: Duration) -> SeatDecision {
        if let Some(seat) = self.seat(ask, QueueStage::Waiting, now) {
            return SeatDecision::Grant(seat);
        }
        let broken = !ask.is_resumed && !self.may_open(ask, now);
        let until = if broken { ask.arrived + WAIT_BROKEN } else { ask.patience() };
        if now < until {
            return SeatDecision::Wait;
        }
        // Its wait is over. One more in a batch costs the others less than a refusal costs it.
        match self.seat(ask, QueueStage::TimedOut, now) {
            Some(seat) => SeatDecision::Grant(seat),
            None => self.refuse(ask, "no upstream takes it", ask.latest_return()),
        }
    }

    fn queue(&mut self, ask: SeatRequest, now: Duration) -> SeatDecision {
        let broken = !self.may_open(&ask, now);
        let Some(service) = self.services.get_mut(&ask.service) else {
            return self.refuse(&ask, "service unknown", RETURN_LEAST);
        };
        let ahead = service.waiting.iter().filter(|a| a.is_returning <= ask.is_returning).count();
        let expected = (ahead + 1) as f64 / service.free_rate(now);
        let wait = ask.patience().saturating_sub(now).as_secs_f64();
        // How fast seats are freed says nothing where no group runs; such a wait is short.
        if ask.is_resumed || broken || expected <= wait {
            service.waiting.push(ask);
            return SeatDecision::Wait;
        }
        let spread = f64::from(ask.draw) / f64::from(u32::MAX);
        let range = ask.latest_return().saturating_sub(RETURN_LEAST);
        self.refuse(&ask, "no seat in time", RETURN_LEAST + range.mul_f64(spread))
    }

    /// Takes a seat at an upstream that has room, one of the least loaded. In its last turn the
    /// request may be one more than keeps all in time, but not more than the upstream runs.
    fn seat(&mut self, ask: &SeatRequest, turn: QueueStage, now: Duration) -> Option<Seat> {
        let service = self.services.get(&ask.service)?;
        let engine = service.engine.as_ref();
        let noise = |u: &Upstream| {
            let mixed = (ask.draw ^ u.digest).wrapping_mul(0x9E37_79B9);
            f64::from(mixed) / f64::from(u32::MAX) * SCORE_NOISE
        };
        let bias = if engine.is_some() { ZONE_BIAS } else { ZONE_BIAS_PLAIN };
        let age = now.saturating_sub(self.picture);
        let others = self.entries.saturating_sub(1) as f64;
        // Requests of the other entries that the picture does not show yet.
        let unseen = service.send_rate(now) * others * age.as_secs_f64();
        let (takes_late, latest_start) = (ask.takes_late(turn), ask.latest_start(turn));
        let mut open = Vec::new();
        let (mut candidates, mut room) = (0, 0.0);
        for (index, u) in self.upstreams.values().enumerate() {
            if u.service != ask.service || ask.excluded.contains(&u.id) || !u.allows(now) {
                continue;
            }
            if self.is_zone_barred(&u.zone, now) {
                continue;
            }
            candidates += 1;
            let limit = u.limit(engine, ask.gap_target);
            let first = engine.map(|e| u.first_event(e, ask.prompt_tokens)).unwrap_or_default();
            let whole = engine.map(|e| first + u.answer(e)).unwrap_or_default();
            let running = if engine.is_some() { u.running_after(age, whole) } else { u.running() };
            // An upstream without work is tried, whatever was learned of it before.
            let idle = u.running() < 1.0;
            let ends = now + whole <= ask.deadline;
            let most = if takes_late { f64::from(u.slots).max(limit) } else { limit };
            let starts = now + first <= latest_start;
            if !(idle || (ends && starts && running + 1.0 <= most)) {
                continue;
            }
            room += (most - running).max(1.0);
            let away = if u.zone == self.zone { 0.0 } else { bias };
            let slow = first.as_secs_f64() / ask.latency_target.as_secs_f64().max(0.001);
            let score = running / limit.max(1.0) + slow * FIRST_WEIGHT + away + noise(u);
            open.push(Candidate { index, score, step: 1.0 / limit.max(1.0) });
        }
        // What waits everywhere must not all go at once to a group that has just opened.
        if turn == QueueStage::Waiting && unseen > room {
            return None;
        }
        let index = choose(open, unseen, f64::from(ask.draw) / f64::from(u32::MAX))?;
        let limit = self.upstreams[index].limit(engine, ask.gap_target);
        let upstream = &mut self.upstreams[index];
        tracing::info!(
            event = events::SEAT_TAKEN,
            request = %ask.request_id,
            upstream = %upstream.id,
            running = upstream.own,
            others = upstream.others,
            limit,
            picture_ms = age.as_millis() as u64,
            unseen,
            waited_ms = now.saturating_sub(ask.arrived).as_millis() as u64,
            candidates,
            "send"
        );
        // A zone that was cut off is tried with one request at a time.
        if let Some((failed, barred)) = self.zones.get_mut(&upstream.zone)
            && *failed >= ZONE_FAILURES
        {
            *barred = now + ZONE_TIME;
        }
        let is_probe = upstream.begin(now);
        upstream.own_tokens += ask.prompt_tokens;
        let (id, address) = (upstream.id.clone(), upstream.address);
        if let Some(service) = self.services.get_mut(&ask.service) {
            service.count_send(now);
        }
        Some(Seat { upstream: id, address, is_probe, prompt_tokens: ask.prompt_tokens })
    }

    fn refuse(
        &self,
        ask: &SeatRequest,
        reason: &'static str,
        retry_after: Duration,
    ) -> SeatDecision {
        tracing::info!(
            event = events::SEAT_REFUSED,
            request = %ask.request_id,
            service = %ask.service,
            reason,
            waiting = self.waiting(),
            retry_ms = retry_after.as_millis() as u64,
            "refuse"
        );
        SeatDecision::Refuse(Refusal { reason, retry_after })
    }
}
