//! Requests that wait for a seat.

use super::ask::{QueueStage, SeatDecision, SeatRequest};
use super::constants::{BROKEN_WAIT, RETRY_AFTER_MIN};
use super::desk::Balancer;
use super::placement::LimitReason;
use super::returning::turn;
use crate::base::name::Name;
use std::time::Duration;

impl Balancer {
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
            // Resumed streams go first, then the most urgent requests, where admission knows
            // priorities, and of these in the order of their turns; the oldest first in each.
            let by_load = self.by_load;
            let priority = |a: &SeatRequest| if by_load { a.priority } else { 0 };
            queue.sort_by_key(|a| (!a.is_resumed, priority(a), turn(a), a.arrived));
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
        if self.has_only_evacuated(request) {
            return self.refuse_evacuated(request);
        }
        if let Ok(seat) = self.seat(request, QueueStage::Waiting, now) {
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
            Ok(seat) => SeatDecision::Grant(seat),
            Err(_) => {
                let retry_after = self.retry_after(request, request.longest_retry_after(), now);
                self.refuse(request, "no upstream takes it", retry_after)
            }
        }
    }

    pub(super) fn queue(&mut self, request: SeatRequest, now: Duration) -> SeatDecision {
        let is_broken = !self.may_be_served(&request, now);
        // Where only the limits of cold upstreams bind, no seat has to be freed.
        let limited = self.limited_until(&request, now);
        let cold_rate = match limited {
            Some((_, LimitReason::WarmingUp)) => self.cold_rate(&request.service, now),
            _ => 0.0,
        };
        let Some(service) = self.services.get_mut(&request.service) else {
            return self.refuse(&request, "service unknown", RETRY_AFTER_MIN);
        };
        let ahead = service.waiting.iter().filter(|a| turn(a) <= turn(&request)).count();
        let expected_wait = (ahead + 1) as f64 / (service.free_rate(now) + cold_rate);
        let max_wait = request.wait_until().saturating_sub(now).as_secs_f64();
        // The rate of freed seats predicts nothing while no group runs; such a wait is short.
        if request.is_resumed || is_broken || expected_wait <= max_wait {
            service.waiting.push(request);
            return SeatDecision::Wait;
        }
        let retry_after = self.retry_after(&request, request.random_retry_after(), now);
        self.refuse(&request, "no seat in time", retry_after)
    }
}
