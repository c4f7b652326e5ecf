//! Patterns of load that once hurt: who is sent, who waits, who is refused.

use crate::balance::ask::{Seat, SeatDecision, SeatRequest};
use crate::balance::budget::BudgetRule;
use crate::balance::desk::Balancer;
use crate::balance::upstream::SendOutcome;
use crate::base::name::Name;
use crate::catalog::directory::{Directory, UpstreamRecord, UpstreamState};
use crate::catalog::{ClientLimits, Config, ConfigParts, EngineFigures, ExpertFigures, Service};
use crate::limits::CircuitSettings;
use crate::peers::PeerLoads;
use crate::ranks::message::{GroupMember, GroupStatus};
use indexmap::IndexMap;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const START: Duration = Duration::from_secs(30);
const TARGET: Duration = Duration::from_millis(400);
const GAP: Duration = Duration::from_millis(120);

fn figures() -> EngineFigures {
    EngineFigures {
        slots: 12,
        kv_tokens: 372_000,
        stride: 5,
        step_ms: 5.85,
        sequence_ms: 0.355,
        context_ms: 0.036,
        prefill_rate: 61_200.0,
        chunk: 512,
        form_ms: 600.0,
        mean_prompt: 835.0,
        mean_answer: 139.0,
        experts: Some(ExpertFigures { sets: 6, experts: 64, rank_slots: 11, spare_slots: 4 }),
    }
}

fn address(index: u16) -> SocketAddr {
    format!("10.0.0.1:{}", 8000 + index).parse().unwrap()
}

fn entry(index: u16, zone: &str, service: &str) -> UpstreamRecord {
    UpstreamRecord {
        service: service.into(),
        address: address(index),
        zone: zone.into(),
        slots: 12,
        state: UpstreamState::Ready,
        cold: false,
        started_ms: 1,
    }
}

/// A desk in zone `a` before `zones` of replicas of the service `llm`, four in each.
fn desk(zones: &[&str]) -> (Balancer, Directory, Config) {
    let rule = BudgetRule { ratio: 0.2, slack: 92.0, window: Duration::from_secs(10) };
    let circuit = CircuitSettings {
        ratio: 0.5,
        first: Duration::from_secs(1),
        longest: Duration::from_secs(5),
    };
    let mut desk = Balancer::new("a".into(), rule, circuit);
    let mut directory = Directory::default();
    let mut index = 0;
    for zone in zones {
        for _ in 0..4 {
            directory.put(&id(index), entry(index, zone, "llm"), 1);
            index += 1;
        }
    }
    let llm = Service { connections: None, engine: Some(figures()) };
    let config = Config::new(ConfigParts {
        version: 1,
        routes: Vec::new(),
        services: IndexMap::from([(Name::from("llm"), llm)]),
        workspaces: None,
        limits: ClientLimits::default(),
    });
    desk.install(&config, &directory);
    desk.observe_peers(&PeerLoads::new(), 8, START);
    (desk, directory, config)
}

fn id(index: u16) -> Name {
    format!("i-{index}").into()
}

fn ask(ticket: u64, now: Duration) -> SeatRequest {
    SeatRequest {
        ticket,
        request_id: format!("r{ticket}").into(),
        service: "llm".into(),
        excluded: Vec::new(),
        arrived: now,
        deadline: now + Duration::from_secs(8),
        latency_target: TARGET,
        gap_target: Some(GAP),
        prompt_tokens: 800,
        is_returning: false,
        is_resumed: false,
        draw: (ticket as u32).wrapping_mul(0x9E37_79B9),
    }
}

fn go(step: SeatDecision) -> Option<Seat> {
    match step {
        SeatDecision::Grant(seat) => Some(seat),
        _ => None,
    }
}

fn picture(open: bool, members: std::ops::Range<u16>) -> GroupStatus {
    GroupStatus {
        group: ("llm".into(), format!("g{}", members.start).into()),
        open,
        pass_ms: 0.0,
        members: members
            .map(|i| GroupMember { address: address(i), requests: 0, slowdown: 1.0 })
            .collect(),
    }
}

/// After a power loss all clients come at once: prompts are read one after the other, so seats are
/// given only while the first event is expected in time, not until all slots are full.
#[test]
fn offer_crowd_bounded_by_prompts() {
    let (mut desk, ..) = desk(&["a"]);
    let steps = (0..200).map(|t| desk.offer(ask(t, START), START));
    let sent = steps.filter(|s| matches!(s, SeatDecision::Grant(_))).count();
    assert!((8..4 * 12).contains(&sent), "{sent} sent at once to four replicas");
}

/// Once the prompts are read, the rest of the slots is given out.
#[test]
fn offer_prompts_read_more_seats() {
    let (mut desk, ..) = desk(&["a"]);
    let mut seats: Vec<Seat> =
        (0..200).filter_map(|t| go(desk.offer(ask(t, START), START))).collect();
    let before = seats.len();
    seats.iter_mut().for_each(|s| desk.observe_answer(s, START));
    let more = (300..500).filter_map(|t| go(desk.offer(ask(t, START), START))).count();
    assert!(more > 0 && before + more <= 4 * 12, "{before} and {more}");
}

/// A zone is cut and the only group spans it: callers are refused at once, to come back as late as
/// they heed, and none waits for a group that cannot run.
#[test]
fn offer_group_broken_refused_at_once() {
    let (mut desk, ..) = desk(&["a", "b"]);
    desk.observe_group(&picture(false, 0..8), START);
    match desk.offer(ask(1, START), START) {
        SeatDecision::Refuse(refusal) => assert!(refusal.retry_after > Duration::from_secs(2)),
        step => panic!("{step:?}"),
    }
    desk.observe_group(&picture(true, 0..8), START);
    assert!(go(desk.offer(ask(2, START), START)).is_some());
}

/// A caller that came back has no further try, and waits a little for a broken group, but is not
/// held until it gives up.
#[test]
fn advance_group_broken_back_refused_soon() {
    let (mut desk, ..) = desk(&["a"]);
    desk.observe_group(&picture(false, 0..4), START);
    let mut late = ask(1, START);
    late.is_returning = true;
    assert!(matches!(desk.offer(late, START), SeatDecision::Wait));
    let soon = START + Duration::from_millis(300);
    assert!(desk.advance(soon).is_empty());
    let over = START + Duration::from_millis(600);
    assert!(matches!(desk.advance(over).as_slice(), [(1, SeatDecision::Refuse(_))]));
}

/// After a power loss the entries are back before the groups have formed, and the agents have told
/// nothing yet: one rejection speaks for all replicas, instead of each being tried by each entry.
/// The first picture opens them all.
#[test]
fn release_groups_unformed_one_tried() {
    let (mut desk, ..) = desk(&["a", "b"]);
    let seat = go(desk.offer(ask(1, START), START)).unwrap();
    desk.release(&seat, SendOutcome::Full, START);
    let soon = START + Duration::from_millis(50);
    assert!(matches!(desk.offer(ask(2, soon), soon), SeatDecision::Refuse(_)));
    desk.observe_group(&picture(true, 0..8), soon);
    assert!(go(desk.offer(ask(3, soon), soon)).is_some());
}

/// A replica of one group rejects while the other group is seen to run: that one stays in use.
#[rstest]
#[case::picture(true)]
#[case::answers(false)]
fn release_group_unformed_other_taken(#[case] pictured: bool) {
    let (mut desk, ..) = desk(&["a", "b"]);
    if pictured {
        desk.observe_group(&picture(true, 4..8), START);
    } else {
        (0..8).for_each(|ticket| {
            let mut seat = go(desk.offer(ask(ticket, START), START)).unwrap();
            desk.observe_answer(&mut seat, START);
        });
    }
    let mut seat = go(desk.offer(ask(10, START), START)).unwrap();
    seat.upstream = id(0);
    desk.release(&seat, SendOutcome::Full, START);
    assert!(go(desk.offer(ask(11, START), START)).is_some());
}

/// One of two groups is broken: all work goes to the other.
#[test]
fn offer_one_group_broken_other_taken() {
    let (mut desk, ..) = desk(&["a", "b"]);
    desk.observe_group(&picture(false, 0..4), START);
    for ticket in 0..8 {
        let seat = go(desk.offer(ask(ticket, START), START)).unwrap();
        let index: u16 = seat.upstream[2..].parse().unwrap();
        assert!(index >= 4, "{} is in the broken group", seat.upstream);
    }
}

/// This entry is in the zone that is cut off: after two failed connections it sends nothing to the
/// other zones but one request at a time.
#[test]
fn offer_zone_unreached_barred() {
    let (mut desk, ..) = desk(&["b", "c"]);
    let mut failed = 0;
    for ticket in 0..40 {
        if let Some(seat) = go(desk.offer(ask(ticket, START), START)) {
            desk.release(&seat, SendOutcome::Unreached, START);
            failed += 1;
        }
    }
    assert!(failed <= 4, "{failed} connections tried");
    let later = START + Duration::from_secs(1);
    let tried = (50..60).filter_map(|t| go(desk.offer(ask(t, later), later))).count();
    assert!((1..=2).contains(&tried), "{tried} tried again");
}

/// Replicas crash, or close kept connections: that is no cut, and their zone stays in use.
#[rstest]
#[case::crash(SendOutcome::Closed)]
#[case::kept_connection(SendOutcome::Stale)]
fn offer_host_answers_zone_used(#[case] end: SendOutcome) {
    let (mut desk, ..) = desk(&["b"]);
    for ticket in 0..3 {
        let seat = go(desk.offer(ask(ticket, START), START)).unwrap();
        desk.release(&seat, end, START);
    }
    assert!(go(desk.offer(ask(9, START), START)).is_some());
}

/// A slow group was left alone until it had no work; what was learned of it must not keep it idle.
#[test]
fn offer_slow_group_idle_tried_again() {
    let (mut desk, ..) = desk(&["a"]);
    let mut slow = picture(true, 0..4);
    slow.pass_ms = 3000.0;
    slow.members.iter_mut().for_each(|m| m.requests = 8);
    (0..20).for_each(|_| desk.observe_group(&slow, START));
    assert!(go(desk.offer(ask(1, START), START)).is_some());
}

/// One rank of a group is four times slower: it gets at most a third of the others' requests, since
/// all of them wait for it.
#[test]
fn offer_slow_rank_spared() {
    let (mut desk, ..) = desk(&["a"]);
    let mut slow = picture(true, 0..4);
    slow.members[2].slowdown = 4.0;
    desk.observe_group(&slow, START);
    let mut counts = [0; 4];
    for ticket in 0..24 {
        let Some(mut seat) = go(desk.offer(ask(ticket, START), START)) else { continue };
        desk.observe_answer(&mut seat, START);
        counts[seat.upstream[2..].parse::<usize>().unwrap()] += 1;
    }
    let others = counts.iter().sum::<i32>() - counts[2];
    assert!(others >= 12 && counts[2] * 3 <= others / 3, "{counts:?}");
}

/// Capacity is taken: the request that can still be on time goes before the one that was refused
/// before, and both get a seat once there is one.
#[rstest]
#[case::fresh_first(false, 1)]
#[case::back_waits(true, 2)]
fn advance_order_fresh_first(#[case] first_back: bool, #[case] expected: u64) {
    let (mut desk, ..) = desk(&["a"]);
    let mut seats = Vec::new();
    for ticket in 100..400 {
        let mut crowd = ask(ticket, START);
        crowd.is_returning = true;
        if let Some(mut seat) = go(desk.offer(crowd, START)) {
            desk.observe_answer(&mut seat, START);
            seats.push(seat);
        }
    }
    (100..400).for_each(|t| desk.withdraw(t));
    for _ in 0..6 {
        let seat = seats.pop().unwrap();
        desk.release(&seat, SendOutcome::Good, START + Duration::from_millis(10));
    }
    let now = START + Duration::from_millis(20);
    let mut one = ask(1, now);
    let mut two = ask(2, now);
    (one.is_returning, two.is_returning) = (first_back, !first_back);
    let steps: Vec<(u64, bool)> =
        [one, two].into_iter().map(|a| (a.ticket, go(desk.offer(a, now)).is_some())).collect();
    assert!(steps.iter().any(|(ticket, went)| *ticket == expected && *went), "{steps:?}");
}

/// A held group frees no seats. How fast they were freed before says nothing any more: a request
/// that came back is told at once to return, and does not wait in vain.
#[rstest]
#[case::seats_freed(50, true)]
#[case::nothing_freed(900, false)]
fn offer_seats_freed_before(#[case] silence_ms: u64, #[case] waits: bool) {
    let (mut desk, ..) = desk(&["a"]);
    let mut seats = Vec::new();
    for ticket in 0..400 {
        if let Some(mut seat) = go(desk.offer(ask(ticket, START), START)) {
            desk.observe_answer(&mut seat, START);
            seats.push(seat);
        }
    }
    (0..400).for_each(|ticket| desk.withdraw(ticket));
    let mut now = START;
    for ticket in 400..440 {
        now += Duration::from_millis(10);
        desk.release(&seats.remove(0), SendOutcome::Good, now);
        let mut seat = go(desk.offer(ask(ticket, now), now)).unwrap();
        desk.observe_answer(&mut seat, now);
        seats.push(seat);
    }
    now += Duration::from_millis(silence_ms);
    let steps = (500..506).map(|ticket| {
        let mut late = ask(ticket, now);
        late.is_returning = true;
        desk.offer(late, now)
    });
    assert_eq!(matches!(steps.last(), Some(SeatDecision::Wait)), waits);
}

/// After a crash the store still has the entry of the start before: the later start is called.
#[test]
fn install_address_twice_later_start() {
    let (mut desk, mut directory, config) = desk(&[]);
    let old = entry(0, "a", "llm");
    let new = UpstreamRecord { started_ms: 2, ..old.clone() };
    directory.put(&id(1), old, 1);
    directory.put(&id(2), new, 2);
    desk.install(&config, &directory);
    let seat = go(desk.offer(ask(1, START), START)).unwrap();
    assert_eq!(seat.upstream, id(2));
    assert_eq!(desk.upstream_count(), 1);
}

/// Several entries with the same picture do not all choose the same replica.
#[test]
fn offer_same_picture_spread() {
    let chosen: Vec<Name> = (0..40)
        .map(|entry| {
            let (mut desk, ..) = desk(&["a"]);
            go(desk.offer(ask(entry * 7919, START), START)).unwrap().upstream
        })
        .collect();
    for index in 0..4 {
        let count = chosen.iter().filter(|c| **c == id(index)).count();
        assert!(count <= 24, "{count} of 40 entries chose {}", id(index));
    }
}
