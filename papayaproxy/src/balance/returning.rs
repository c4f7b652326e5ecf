//! When refused clients return, and which returning requests keep to the time that they were told.

use super::appointments::Forecast;
use super::ask::SeatRequest;
use super::constants::{RETRY_AFTER_MIN, RETRY_AFTER_RATIO, WAIT_RATIO};
use super::desk::Balancer;
use super::events;
use crate::base::name::Name;
use crate::peers::message::{PromiseNews, digest};
use crate::ranks::message::GroupStatus;
use std::net::SocketAddr;
use std::time::Duration;

/// Services in one message to the peers, so that it fits one datagram.
const SERVICES_MAX: usize = 8;

/// Order of waiting requests of equal priority, the lowest first: returning requests that keep to
/// the time that they were told, those that can still meet the latency target, other returning ones.
pub(crate) fn turn(request: &SeatRequest) -> u8 {
    match (request.is_returning, request.is_on_time) {
        (true, true) => 0,
        (false, _) => 1,
        (true, false) => 2,
    }
}

impl Balancer {
    /// Sets whether the entries coordinate the times at which refused clients return.
    pub(crate) fn coordinate_retries(&mut self, is_coordinated: bool) {
        self.is_coordinated = is_coordinated;
    }

    /// Delay after which the client of a request that is refused for want of capacity may retry;
    /// `uncoordinated` unless the entries coordinate it.
    pub(super) fn retry_after(
        &mut self,
        request: &SeatRequest,
        uncoordinated: Duration,
        now: Duration,
    ) -> Duration {
        // A client retries once, so one that is refused again gets no promise.
        if !self.is_coordinated || request.is_returning || request.is_resumed {
            return uncoordinated;
        }
        let time_left = request.deadline.saturating_sub(now);
        let latest = request.longest_retry_after().min(time_left.mul_f64(RETRY_AFTER_RATIO));
        let is_broken = !self.may_be_served(request, now);
        let forecast = self.forecast(request, is_broken, now);
        let report_age = now.saturating_sub(self.reported_at);
        let peers = self.entries.saturating_sub(1);
        let Some(service) = self.services.get_mut(&request.service) else { return uncoordinated };
        let form = service.form_time();
        let returns_in = service.appointments.expected_return(form, now);
        let earliest = if is_broken { returns_in.unwrap_or(latest) } else { Duration::ZERO };
        let earliest = earliest.max(RETRY_AFTER_MIN);
        let window = (earliest, latest);
        let booking =
            service.appointments.book(now, request.priority, window, forecast, (peers, report_age));
        tracing::info!(
            event = events::RETRY_PROMISED,
            request = %request.request_id,
            service = %request.service,
            retry_ms = booking.retry_after.as_millis() as u64,
            promised = booking.promised,
            backlog = booking.backlog,
            capacity = booking.capacity,
            room = booking.has_room,
            rate = forecast.rate,
            free = forecast.free,
            broken = is_broken,
            returns_ms = returns_in.map(|t| t.as_millis() as u64),
            picture_ms = report_age.as_millis() as u64,
            "return promised"
        );
        booking.retry_after
    }

    /// Whether a returning request, whose client first sent it `elapsed` ago, comes when it was
    /// told; `None` unless the entries coordinate it.
    pub(crate) fn is_on_time(
        &mut self,
        service: &str,
        priority: u8,
        elapsed: Duration,
        latency_target: Duration,
        now: Duration,
    ) -> Option<bool> {
        let service = self.services.get_mut(service).filter(|_| self.is_coordinated)?;
        let wait = latency_target.mul_f64(WAIT_RATIO);
        Some(service.appointments.is_on_time(now, priority, elapsed, wait))
    }

    /// Whether the `free` seats of a service are kept for returning requests that keep to their time
    /// and wait here. Otherwise new requests, which are considered as they arrive, would pass them.
    pub(super) fn is_reserved(&self, request: &SeatRequest, free: f64) -> bool {
        if !self.is_coordinated || request.is_resumed || turn(request) == 0 {
            return false;
        }
        let Some(service) = self.services.get(&request.service) else { return false };
        let goes_first = |a: &&SeatRequest| turn(a) == 0 && a.priority <= request.priority;
        free <= service.waiting.iter().filter(goes_first).count() as f64
    }

    /// Logs how a returning request ended its wait for a seat.
    pub(crate) fn log_return(&self, request_id: &Name, on_time: bool, refusal: Option<&str>) {
        tracing::info!(
            event = events::RETURN_DECIDED,
            request = %request_id,
            on_time,
            seated = refusal.is_none(),
            reason = refusal,
            "returning request decided"
        );
    }

    /// Promises of this entry for the peers; empty while there are none.
    pub(crate) fn promise_news(&self, now: Duration) -> Vec<PromiseNews> {
        let all = self.services.iter().filter(|_| self.is_coordinated);
        all.filter_map(|(name, service)| service.appointments.news(digest(name), now))
            .take(SERVICES_MAX)
            .collect()
    }

    /// Applies the promises of a peer.
    pub(crate) fn observe_promises(
        &mut self,
        peer: SocketAddr,
        news: &[PromiseNews],
        now: Duration,
    ) {
        if !self.is_coordinated {
            return;
        }
        for news in news.iter().take(SERVICES_MAX) {
            let mut services = self.services.iter_mut();
            if let Some((_, service)) = services.find(|(name, _)| digest(name) == news.service) {
                service.appointments.observe_peer(peer, news, now);
            }
        }
    }

    /// Learns from the outages of a group how long they take.
    pub(super) fn observe_outage(&mut self, status: &GroupStatus, now: Duration) {
        let (service_name, group) = &status.group;
        let Some(service) = self.services.get_mut(service_name).filter(|_| self.is_coordinated)
        else {
            return;
        };
        let form = service.form_time();
        let lasted = service.appointments.observe_group(group, status.open, form, now);
        if let Some(lasted) = lasted {
            tracing::info!(
                event = events::OUTAGE_ENDED,
                service = %service_name,
                group = %group,
                lasted_ms = lasted.as_millis() as u64,
                "outage ended"
            );
        }
    }

    /// When seats for `request` are expected to become free. While all upstreams are down, it
    /// counts from the return of the first.
    fn forecast(&self, request: &SeatRequest, is_broken: bool, now: Duration) -> Forecast {
        let Some(service) = self.services.get(&request.service) else {
            return Forecast::default();
        };
        let Some(figures) = &service.engine else {
            let rate = service.appointments.freed_rate(now) * self.entries as f64;
            return Forecast { rate, free: 0.0 };
        };
        let mut forecast = Forecast::default();
        for upstream in self.upstreams.values().filter(|u| u.service == request.service) {
            if is_broken || !upstream.is_broken(now) {
                let seats = upstream.limit(Some(figures), request.gap_target);
                forecast.rate += upstream.seat_rate(figures, seats);
                forecast.free += if is_broken { seats } else { 0.0 };
            }
        }
        forecast
    }
}
