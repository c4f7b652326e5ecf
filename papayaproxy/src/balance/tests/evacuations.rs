//! Evacuated availability zones: which upstreams get no request, and which requests are refused.

use super::patterns::{START, balancer, granted, id, request};
use crate::balance::ask::{SeatDecision, SeatRequest};
use crate::balance::upstream::SendOutcome;
use std::time::Duration;

/// New, resumed and moved streams must not reach an evacuated zone; those in progress there stay.
#[test]
fn offer_evacuated_zone_gets_nothing() {
    let (mut balancer, ..) = balancer(&["a", "b"]);
    let (tried, silence) = ((0..4).map(id).collect::<Vec<_>>(), Duration::from_secs(5));
    let before = SeatRequest { excluded: tried.clone(), ..request(1, START) };
    let before = granted(balancer.offer(before, START)).unwrap();
    assert!(balancer.should_move(&id(0), &tried, silence, START));
    balancer.observe_evacuations(&["b".into()].into(), START);
    assert!(!balancer.should_move(&id(0), &tried, silence, START), "to the zone");
    assert!(balancer.should_move(&before.upstream, &[], silence, START), "away from it");
    let requests = (2..400).map(|n| SeatRequest { is_resumed: n % 2 == 0, ..request(n, START) });
    let mut offers: Vec<_> = requests.map(|request| balancer.offer(request, START)).collect();
    offers.extend(balancer.advance(START + silence).into_iter().map(|(_, decision)| decision));
    let seats: Vec<_> = offers.into_iter().filter_map(granted).collect();
    assert!(!seats.is_empty() && seats.iter().all(|seat| tried.contains(&seat.upstream)));
    assert_eq!(balancer.evacuations(), [("b".into(), 1)]);
}

/// With no other zone left, new and waiting requests are refused at once, until the evacuation ends.
#[test]
fn offer_all_evacuated_refused_at_once() {
    let (mut balancer, ..) = balancer(&["a", "b"]);
    let resumed = |ticket| SeatRequest { is_resumed: true, ..request(ticket, START) };
    let seats: Vec<_> =
        (1..400).filter_map(|n| granted(balancer.offer(resumed(n), START))).collect();
    let is_refused = |decision: &SeatDecision| matches!(decision, SeatDecision::Refuse(refusal) if refusal.reason == "zone evacuated");
    balancer.observe_evacuations(&["a".into(), "b".into(), "unknown".into()].into(), START);
    let waiting = balancer.waiting();
    let decisions = balancer.advance(START);
    assert!(waiting > 0 && decisions.iter().filter(|(_, d)| is_refused(d)).count() == waiting);
    assert!(is_refused(&balancer.offer(resumed(500), START)));
    let later = START + Duration::from_secs(20);
    balancer.observe_evacuations(&["a".into()].into(), later);
    assert_eq!(["a", "b"].map(|zone| balancer.is_evacuated(&zone.into())), [true, false]);
    let all_tried = SeatRequest { excluded: (4..8).map(id).collect(), ..request(501, later) };
    assert!(is_refused(&balancer.offer(all_tried, later)), "the others are evacuated");
    seats.iter().for_each(|seat| balancer.release(seat, SendOutcome::Good, later));
    assert!(granted(balancer.offer(request(502, later), later)).is_some());
}

/// Guards against circuits that empty the service: of what is left a third may be out, not of all.
#[test]
fn release_failing_third_of_the_rest_out() {
    let (mut balancer, ..) = balancer(&["a", "b", "c"]);
    balancer.observe_evacuations(&["b".into(), "c".into()].into(), START);
    for number in 0..400 {
        let now = START + Duration::from_millis(20 * number);
        let seat = granted(balancer.offer(request(number, now), now));
        seat.iter().for_each(|seat| balancer.release(seat, SendOutcome::Failed, now));
    }
    assert_eq!(balancer.upstreams.values().filter(|u| u.is_out()).count(), 1);
}
