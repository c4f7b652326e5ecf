//! The choice of an upstream for one request.

use super::admission::{Applicant, Capacity, Verdict};
use super::ask::{NoSeat, QueueStage, Seat, SeatRequest};
use super::constants::{
    ADMISSION_SLOTS, FIRST_EVENT_WEIGHT, HASH_FACTOR, SCORE_NOISE, ZONE_BACKOFF, ZONE_FAILURES,
    ZONE_PENALTY, ZONE_PENALTY_PLAIN,
};
use super::desk::Balancer;
use super::events;
use super::spread::{Candidate, choose};
use super::upstream::Upstream;
use crate::base::name::Name;
use std::time::Duration;

/// What keeps requests from the upstreams that could take them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LimitReason {
    /// The upstreams name limits of requests a second.
    RateLimited,
    /// The upstreams are cold.
    WarmingUp,
}

impl LimitReason {
    /// Reason for a refusal.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::RateLimited => "rate limited",
            Self::WarmingUp => "warming up",
        }
    }
}

impl Balancer {
    /// Whether some upstream could take the request once a seat is free.
    pub(super) fn may_be_served(&self, request: &SeatRequest, now: Duration) -> bool {
        let mut all = self.upstreams.values().filter(|u| u.service == request.service);
        all.any(|u| {
            !u.is_broken(now)
                && !self.is_evacuated(&u.zone)
                && !self.is_zone_in_backoff(&u.zone, now)
        })
    }

    /// When the first upstream that could take the request may get one, and what limits it, if the
    /// limits of all keep it from being sent.
    pub(super) fn limited_until(
        &self,
        request: &SeatRequest,
        now: Duration,
    ) -> Option<(Duration, LimitReason)> {
        let fitting = self.upstreams.values().filter(|u| self.may_get(u, request, now));
        let first = fitting.min_by_key(|u| u.limited_until(now))?;
        let is_cold = first.cold_limited_until(now) > first.rate_limited_until();
        let reason = if is_cold { LimitReason::WarmingUp } else { LimitReason::RateLimited };
        Some((first.limited_until(now), reason)).filter(|(at, _)| now < *at)
    }

    /// Whether an upstream may get the request, apart from its load and its rate limit.
    pub(super) fn may_get(
        &self,
        upstream: &Upstream,
        request: &SeatRequest,
        now: Duration,
    ) -> bool {
        upstream.service == request.service
            && !request.excluded.contains(&upstream.id)
            && !self.is_evacuated(&upstream.zone)
            && upstream.is_available(now)
            && upstream.lets_pass(request.is_repeatable, now)
            && !self.is_zone_in_backoff(&upstream.zone, now)
    }

    fn is_zone_in_backoff(&self, zone: &Name, now: Duration) -> bool {
        *zone != self.zone
            && self.zones.get(zone).is_some_and(|(_, backoff_until)| now < *backoff_until)
    }

    /// Whether the service has capacity for the request, if its replicas report their load.
    fn admission(
        &self,
        request: &SeatRequest,
        capacity: &Capacity,
        now: Duration,
    ) -> Option<Verdict> {
        let service = self.services.get(&request.service)?;
        // Another hash than the one that chooses the upstream.
        let draw = request.draw.rotate_left(16).wrapping_mul(HASH_FACTOR);
        let applicant = Applicant {
            priority: request.priority,
            workspace: &request.workspace,
            draw: f64::from(draw) / f64::from(u32::MAX),
        };
        service.demand.verdict(capacity, applicant, now)
    }

    /// Takes a seat at one of the least loaded upstreams that have a free one. A timed-out request
    /// may exceed the limit that keeps all requests on target, but not the slots of the upstream.
    pub(super) fn seat(
        &mut self,
        request: &SeatRequest,
        stage: QueueStage,
        now: Duration,
    ) -> Result<Seat, NoSeat> {
        let service = self.services.get(&request.service).ok_or(NoSeat::Full)?;
        let engine = service.engine.as_ref();
        let noise = |u: &Upstream| {
            let hash = (request.draw ^ u.digest).wrapping_mul(HASH_FACTOR);
            f64::from(hash) / f64::from(u32::MAX) * SCORE_NOISE
        };
        let penalty = if engine.is_some() { ZONE_PENALTY } else { ZONE_PENALTY_PLAIN };
        let age = now.saturating_sub(self.reported_at);
        let peers = self.entries.saturating_sub(1) as f64;
        let (may_be_late, latest_first_event) =
            (request.may_be_late(stage), request.latest_first_event(stage));
        let mut usable = Vec::new();
        let (mut candidates, mut free_seats) = (0, 0.0);
        let mut capacity = Capacity::default();
        let (mut report_ages, mut reports) = (Duration::ZERO, 0u32);
        for (index, u) in self.upstreams.values().enumerate() {
            if !self.may_get(u, request, now) || now < u.limited_until(now) {
                continue;
            }
            candidates += 1;
            let limit = u.limit(engine, request.gap_target);
            let first_event =
                engine.map(|e| u.first_event_time(e, request.prompt_tokens)).unwrap_or_default();
            let duration = engine.map(|e| first_event + u.answer_time(e)).unwrap_or_default();
            let reported = u.reported_load(now).filter(|_| self.by_load);
            let running = match reported {
                Some((load, age)) => load * remaining_part(age, duration),
                None if engine.is_some() => u.running_after(age, duration),
                None => u.running(),
            };
            if let Some(engine) = engine.filter(|_| self.by_load) {
                let most = f64::from(engine.slots) * ADMISSION_SLOTS;
                let usual = u.first_event_time(engine, engine.mean_prompt as u32);
                capacity.add(reported.map(|(load, _)| load), most, usual + u.answer_time(engine));
                if let Some((_, age)) = reported {
                    (report_ages, reports) = (report_ages + age, reports + 1);
                }
            }
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
        let verdict = self.admission(request, &capacity, now);
        // A request is admitted or refused once; later it waits for the seat of one that has ended.
        let is_decided = stage != QueueStage::Arriving || !request.is_first_attempt();
        if let Some(refused) = verdict.filter(|v| !v.is_admitted && !is_decided) {
            log_refused(request, &refused);
            return Err(NoSeat::OverCapacity);
        }
        let mean_age = report_ages.as_secs_f64() / f64::from(reports.max(1));
        // Requests of the other entries that no load report shows yet.
        let unseen = match verdict {
            Some(v) => v.peers.min(v.capacity) * mean_age,
            None => service.send_rate(now) * peers * age.as_secs_f64(),
        };
        // The queues of all entries must not be sent at once to a group that has just formed. Requests
        // that return on time are spread already.
        if stage == QueueStage::Waiting && unseen > free_seats && !request.is_on_time {
            return Err(NoSeat::Full);
        }
        if self.is_reserved(request, free_seats) {
            return Err(NoSeat::Full);
        }
        let draw = f64::from(request.draw) / f64::from(u32::MAX);
        let index = choose(usable, unseen, draw).ok_or(NoSeat::Full)?;
        let upstream = &self.upstreams[index];
        let limit = upstream.limit(engine, request.gap_target);
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
            cold = upstream.is_cold(now),
            "seat taken"
        );
        Ok(self.start(index, request, now))
    }

    /// Starts the request at the upstream at `index`.
    fn start(&mut self, index: usize, request: &SeatRequest, now: Duration) -> Seat {
        let upstream = &mut self.upstreams[index];
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
        Seat { upstream: id, record, address, is_probe, prompt_tokens }
    }
}

/// Part of the requests that are still in progress after `age`, if each takes `duration`.
fn remaining_part(age: Duration, duration: Duration) -> f64 {
    (1.0 - age.as_secs_f64() / duration.as_secs_f64().max(0.001)).max(0.0)
}

fn log_refused(request: &SeatRequest, verdict: &Verdict) {
    tracing::info!(
        event = events::OVER_CAPACITY,
        request = %request.request_id,
        service = %request.service,
        priority = request.priority,
        workspace = %request.workspace,
        capacity = verdict.capacity,
        demand = verdict.demand,
        fraction = verdict.fraction,
        "more requests than can be served on time"
    );
}
