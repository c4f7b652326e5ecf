//! What the exchange with other entries reads and updates of this one.

use super::seats::Seats;
use crate::base::clock::Clock;
use crate::peers::Hooks;
use crate::quarantine::{Quarantine, RequestQuarantine};
use std::cell::RefCell;
use std::rc::Rc;

/// Hooks over the seats and what is quarantined: parts of prompts, and whole requests in `fatal`.
pub(super) fn peer_hooks(
    seats: Rc<Seats>,
    quarantine: Rc<RefCell<Quarantine>>,
    fatal: Rc<RefCell<RequestQuarantine>>,
    clock: Clock,
) -> Hooks {
    let (load_seats, peer_seats, group_seats) = (seats.clone(), seats.clone(), seats);
    let entry_seats = load_seats.clone();
    let (own_limits, peer_limits) = (load_seats.clone(), load_seats.clone());
    let (own_demand, peer_demand) = (load_seats.clone(), load_seats.clone());
    let (own_promises, peer_promises) = (load_seats.clone(), load_seats.clone());
    let (own_parts, peer_parts) = (quarantine.clone(), quarantine);
    let (own_requests, peer_requests) = (fatal.clone(), fatal);
    Hooks {
        loads: Box::new(move || load_seats.with_balancer(|balancer| balancer.loads())),
        observe_loads: Box::new(move |running, size, reported_at| {
            peer_seats.with_balancer(|b| {
                b.observe_peers(running, size.most, reported_at);
                b.share_budgets(size.sharing);
            });
        }),
        demand: Box::new(move || own_demand.with_balancer(|b| b.demand(clock.now()))),
        observe_demand: Box::new(move |demand| {
            peer_demand.with_balancer(|b| b.observe_demand(demand));
        }),
        observe_entries: Box::new(move |ids| {
            entry_seats.with_balancer(|b| b.observe_entries(ids));
        }),
        observe_group: Box::new(move |status| {
            group_seats.with_balancer(|b| b.observe_group(status, clock.now()));
        }),
        limit_news: Box::new(move || own_limits.with_balancer(|b| b.limit_news(clock.now()))),
        observe_limits: Box::new(move |news| {
            let (now, draw) = (clock.now(), rand::random());
            peer_limits.with_balancer(|b| b.observe_peer_limits(&news, draw, now));
        }),
        promise_news: Box::new(move || own_promises.with_balancer(|b| b.promise_news(clock.now()))),
        observe_promises: Box::new(move |from, news| {
            peer_promises.with_balancer(|b| b.observe_promises(from, news, clock.now()));
        }),
        part_news: Box::new(move |all| own_parts.borrow().news(all, clock.now())),
        observe_parts: Box::new(move |news| {
            peer_parts.borrow_mut().observe(news, clock.now());
        }),
        request_news: Box::new(move |all| own_requests.borrow().news(all, clock.now())),
        observe_requests: Box::new(move |news| {
            peer_requests.borrow_mut().observe(news, clock.now());
        }),
    }
}
