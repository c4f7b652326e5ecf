//! Circuits of upstreams: what opens one, how many may be open, and what may probe.

use super::patterns::{START as NOW, balancer, granted, group_status, id, request};
use crate::balance::ask::{Seat, SeatRequest};
use crate::balance::desk::Balancer;
use crate::balance::upstream::SendOutcome;
use rstest::rstest;
use std::collections::HashMap;
use std::time::Duration;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Twelve replicas of a running group of each zone, as one entry sees them.
fn open_balancer() -> Balancer {
    let (mut balancer, ..) = balancer(&["a", "b", "c"]);
    balancer.observe_group(&group_status(true, 0..12), NOW);
    balancer
}

fn seat(balancer: &mut Balancer, ticket: u64, now: Duration, is_repeatable: bool) -> Option<Seat> {
    let request = SeatRequest { is_repeatable, ..request(ticket, now) };
    granted(balancer.offer(request, now))
}

/// Plays `count` requests, 20 ms apart, each of which ends at once: with `bad` at an upstream of
/// `faulty`, else well. Returns how many each upstream got.
fn play(
    balancer: &mut Balancer,
    faulty: &[u16],
    bad: SendOutcome,
    count: u64,
    is_repeatable: bool,
) -> HashMap<String, u64> {
    let mut got = HashMap::new();
    for number in 0..count {
        let now = NOW + ms(20 * number);
        balancer.observe_group(&group_status(true, 0..12), now);
        let Some(seat) = seat(balancer, number, now, is_repeatable) else { continue };
        *got.entry(seat.upstream.to_string()).or_default() += 1;
        let is_bad = faulty.iter().any(|index| id(*index) == seat.upstream);
        balancer.release(&seat, if is_bad { bad } else { SendOutcome::Good }, now);
    }
    got
}

/// Guards against a replica that fails each request at once, looks idle, and gets most of the traffic:
/// no circuit ever opened.
#[rstest]
#[case::failed(SendOutcome::Failed)]
#[case::lost(SendOutcome::Lost)]
#[case::silent(SendOutcome::Silent)]
fn release_failing_replica_left(
    #[case] bad: SendOutcome,
    #[values(true, false)] is_repeatable: bool,
) {
    let mut balancer = open_balancer();
    let got = play(&mut balancer, &[0], bad, 1000, is_repeatable);
    let (spoiled, served) = (got["i-0"], got.values().sum::<u64>());
    assert_eq!(served, 1000);
    // In 20 s: six to open it, and one or six after each wait of 1 to 5 s.
    assert!(spoiled <= 48, "{spoiled} of {served}");
}

/// Guards against a bad minute that empties a service: a third of its replicas may be out.
#[test]
fn release_all_failing_third_out() {
    let mut balancer = open_balancer();
    let all: Vec<u16> = (0..12).collect();
    let got = play(&mut balancer, &all, SendOutcome::Failed, 400, true);
    assert_eq!(got.values().sum::<u64>(), 400, "each request gets a seat");
    assert!(got.len() >= 8, "{got:?}");
}

/// Guards against replicas that are blamed for the stop of their group, or for what ended without a
/// result of theirs.
#[rstest]
#[case::group_stopped(SendOutcome::Lost, false)]
#[case::group_silent(SendOutcome::Silent, false)]
#[case::abandoned(SendOutcome::Abandoned, true)]
#[case::stale(SendOutcome::Stale, true)]
fn release_no_own_fault_stays_closed(#[case] end: SendOutcome, #[case] is_group_open: bool) {
    let mut balancer = open_balancer();
    let seats: Vec<Seat> = (0..60).filter_map(|t| seat(&mut balancer, t, NOW, true)).collect();
    balancer.observe_group(&group_status(is_group_open, 0..12), NOW + ms(100));
    seats.iter().for_each(|s| balancer.release(s, end, NOW + ms(200)));
    assert!(balancer.upstreams.values().all(|u| !u.is_out()));
}

/// Guards against a booking, which may run once only, that is spent on a probe while there are requests
/// that may run again.
#[test]
fn offer_open_circuit_probed_by_repeatable() {
    let mut balancer = open_balancer();
    let seats: Vec<Seat> = (0..200).filter_map(|t| seat(&mut balancer, t, NOW, true)).collect();
    let bad: Vec<&Seat> = seats.iter().filter(|s| s.upstream == id(0)).collect();
    seats.iter().for_each(|s| {
        let end = if s.upstream == id(0) { SendOutcome::Failed } else { SendOutcome::Good };
        balancer.release(s, end, NOW);
    });
    assert!(bad.len() >= 6 && balancer.upstreams[&id(0)].is_out());
    let probe_at = NOW + ms(1300);
    balancer.observe_group(&group_status(true, 0..12), probe_at);
    for ticket in 1000..1060 {
        let seat = seat(&mut balancer, ticket, probe_at, false).unwrap();
        assert_ne!(seat.upstream, id(0), "a booking is no probe");
        balancer.release(&seat, SendOutcome::Good, probe_at);
    }
    let seats = (2000..2060).filter_map(|t| seat(&mut balancer, t, probe_at, true));
    let probes = seats.collect::<Vec<_>>().into_iter().filter(|s| s.is_probe).count();
    assert_eq!(probes, 1, "one probe at a time");
}

/// Guards against probes by all entries of a fleet at once: their waits differ.
#[test]
fn open_circuit_waits_differ() {
    let opens_at = |entry: u64| {
        let (began, mut balancer) = (NOW + Duration::from_micros(entry * 7919), open_balancer());
        for ticket in 0..80 {
            let Some(seat) = seat(&mut balancer, ticket, began, true) else { continue };
            let is_bad = seat.upstream == id(0);
            let end = if is_bad { SendOutcome::Failed } else { SendOutcome::Good };
            balancer.release(&seat, end, began);
        }
        (0..400).find(|wait| balancer.upstreams[&id(0)].is_available(began + ms(wait * 5)))
    };
    let mut waits: Vec<u64> = (0..30).filter_map(opens_at).filter(|w| *w > 0).collect();
    waits.sort_unstable();
    assert!(waits.len() >= 20, "{waits:?}");
    let spread = ms((waits[waits.len() - 1] - waits[0]) * 5);
    assert!(spread >= ms(200), "{spread:?}");
}
