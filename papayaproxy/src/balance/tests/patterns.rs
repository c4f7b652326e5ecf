//! Regression tests for patterns of load and failure: which requests are sent, queued or refused.

use crate::balance::ask::{Seat, SeatDecision, SeatRequest};
use crate::balance::budget::BudgetRule;
use crate::balance::desk::Balancer;
use crate::balance::upstream::SendOutcome;
use crate::balance::warmup::WarmUpRule;
use crate::base::name::Name;
use crate::catalog::directory::{Directory, UpstreamRecord, UpstreamState};
use crate::catalog::tests::at;
use crate::catalog::{ClientLimits, Config, ConfigParts, EngineFigures, ExpertFigures, Service};
use crate::limits::CircuitSettings;
use crate::peers::PeerLoads;
use crate::ranks::message::{GroupMember, GroupStatus};
use indexmap::IndexMap;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

pub(super) const START: Duration = Duration::from_secs(30);
pub(super) const TARGET: Duration = Duration::from_millis(400);
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
        experts: Some(ExpertFigures {
            sets: 6,
            experts: 64,
            rank_slots: 11,
            spare_slots: 4,
            copy_us: 50_000,
            rank_requests: 12,
        }),
    }
}

pub(super) fn address(index: u16) -> SocketAddr {
    format!("10.0.0.1:{}", 8000 + index).parse().unwrap()
}

fn entry(index: u16, zone: &str, service: &str) -> UpstreamRecord {
    UpstreamRecord {
        service: service.into(),
        address: address(index),
        zone: zone.into(),
        slots: 12,
        state: UpstreamState::Ready,
        cold: Duration::ZERO,
        started_ms: 1,
    }
}

/// A balancer in zone `a`, with four replicas of the service `llm` in each of `zones`.
pub(super) fn balancer(zones: &[&str]) -> (Balancer, Directory, Config) {
    let rule =
        BudgetRule { ratio: 0.2, slack: 92.0, window: Duration::from_secs(10), is_first: false };
    let circuit = CircuitSettings {
        bad_ratio: 0.85,
        bad_streak: 6,
        first_wait: Duration::from_secs(1),
        longest_wait: Duration::from_secs(5),
    };
    let mut balancer =
        Balancer::new("a".into(), rule, circuit, WarmUpRule::default(), Duration::ZERO);
    let mut directory = Directory::default();
    let mut index = 0;
    for zone in zones {
        for _ in 0..4 {
            directory.put(&id(index), entry(index, zone, "llm"), at(1));
            index += 1;
        }
    }
    let llm = Service { connections: None, warm_up: None, engine: Some(figures()) };
    let config = Config::new(ConfigParts {
        version: 1,
        routes: Vec::new(),
        services: IndexMap::from([(Name::from("llm"), llm)]),
        workspaces: None,
        limits: ClientLimits::default(),
    });
    balancer.install(&config, &directory, START);
    balancer.observe_peers(&PeerLoads::new(), 8, START);
    (balancer, directory, config)
}

pub(super) fn id(index: u16) -> Name {
    format!("i-{index}").into()
}

pub(super) fn request(ticket: u64, now: Duration) -> SeatRequest {
    SeatRequest {
        ticket,
        request_id: format!("r{ticket}").into(),
        service: "llm".into(),
        workspace: Name::default(),
        priority: 0,
        excluded: Vec::new(),
        arrived: now,
        deadline: now + Duration::from_secs(8),
        latency_target: TARGET,
        gap_target: Some(GAP),
        prompt_tokens: 800,
        is_returning: false,
        is_on_time: false,
        is_resumed: false,
        is_repeatable: true,
        draw: (ticket as u32).wrapping_mul(0x9E37_79B9),
    }
}

pub(super) fn granted(decision: SeatDecision) -> Option<Seat> {
    match decision {
        SeatDecision::Grant(seat) => Some(seat),
        _ => None,
    }
}

pub(super) fn group_status(open: bool, members: std::ops::Range<u16>) -> GroupStatus {
    GroupStatus {
        group: ("llm".into(), format!("g{}", members.start).into()),
        open,
        pass_ms: 0.0,
        requests: 0.0,
        loads_ms: 0,
        members: members
            .map(|i| GroupMember { address: address(i), slowdown: 1.0, requests: None })
            .collect(),
    }
}

/// After a power loss all clients send at once. Prompts are read one after the other, so seats must
/// be given only while the first event is expected in time, not until all slots are taken.
#[test]
fn offer_burst_bounded_by_prefill() {
    let (mut balancer, ..) = balancer(&["a"]);
    let decisions = (0..200).map(|t| balancer.offer(request(t, START), START));
    let sent = decisions.filter(|s| matches!(s, SeatDecision::Grant(_))).count();
    assert!((8..4 * 12).contains(&sent), "{sent} sent at once to four replicas");
}

/// Once the prompts are read, the remaining slots are given out.
#[test]
fn offer_prefill_done_more_seats() {
    let (mut balancer, ..) = balancer(&["a"]);
    let mut seats: Vec<Seat> =
        (0..200).filter_map(|t| granted(balancer.offer(request(t, START), START))).collect();
    let before = seats.len();
    seats.iter_mut().for_each(|s| balancer.observe_answer(s, START));
    let more = (300..500).filter_map(|t| granted(balancer.offer(request(t, START), START))).count();
    assert!(more > 0 && before + more <= 4 * 12, "{before} and {more}");
}

/// The only group spans a zone that is unreachable, so it cannot run. Requests must be refused at
/// once, with the longest retry delay that clients accept, and not wait for the group.
#[test]
fn offer_group_broken_refused_at_once() {
    let (mut balancer, ..) = balancer(&["a", "b"]);
    balancer.observe_group(&group_status(false, 0..8), START);
    match balancer.offer(request(1, START), START) {
        SeatDecision::Refuse(refusal) => assert!(refusal.retry_after > Duration::from_secs(2)),
        decision => panic!("{decision:?}"),
    }
    balancer.observe_group(&group_status(true, 0..8), START);
    assert!(granted(balancer.offer(request(2, START), START)).is_some());
}

/// A returning request gets no further attempt, so it waits shortly for a broken group; it must be
/// refused before its caller gives up.
#[test]
fn advance_group_broken_returning_refused_soon() {
    let (mut balancer, ..) = balancer(&["a"]);
    balancer.observe_group(&group_status(false, 0..4), START);
    let mut returning = request(1, START);
    returning.is_returning = true;
    assert!(matches!(balancer.offer(returning, START), SeatDecision::Wait));
    let soon = START + Duration::from_millis(300);
    assert!(balancer.advance(soon).is_empty());
    let later = START + Duration::from_millis(600);
    assert!(matches!(balancer.advance(later).as_slice(), [(1, SeatDecision::Refuse(_))]));
}

/// After a power loss the entries start before the groups have formed and before any agent reports.
/// One rejection must count for all replicas; otherwise each entry tries each of them. The first
/// group status makes all of them available.
#[test]
fn release_groups_unformed_one_tried() {
    let (mut balancer, ..) = balancer(&["a", "b"]);
    let seat = granted(balancer.offer(request(1, START), START)).unwrap();
    balancer.release(&seat, SendOutcome::Full, START);
    let soon = START + Duration::from_millis(50);
    assert!(matches!(balancer.offer(request(2, soon), soon), SeatDecision::Refuse(_)));
    balancer.observe_group(&group_status(true, 0..8), soon);
    assert!(granted(balancer.offer(request(3, soon), soon)).is_some());
}

/// A replica of one group rejects requests while the other group is known to run, by a report or by
/// answers. The other group must stay in use.
#[rstest]
#[case::report(true)]
#[case::answers(false)]
fn release_group_unformed_other_taken(#[case] reported: bool) {
    let (mut balancer, ..) = balancer(&["a", "b"]);
    if reported {
        balancer.observe_group(&group_status(true, 4..8), START);
    } else {
        (0..8).for_each(|ticket| {
            let mut seat = granted(balancer.offer(request(ticket, START), START)).unwrap();
            balancer.observe_answer(&mut seat, START);
        });
    }
    let mut seat = granted(balancer.offer(request(10, START), START)).unwrap();
    seat.upstream = id(0);
    balancer.release(&seat, SendOutcome::Full, START);
    assert!(granted(balancer.offer(request(11, START), START)).is_some());
}

/// One of two groups is broken: all requests go to the other.
#[test]
fn offer_one_group_broken_other_taken() {
    let (mut balancer, ..) = balancer(&["a", "b"]);
    balancer.observe_group(&group_status(false, 0..4), START);
    for ticket in 0..8 {
        let seat = granted(balancer.offer(request(ticket, START), START)).unwrap();
        let index: u16 = seat.upstream[2..].parse().unwrap();
        assert!(index >= 4, "{} is in the broken group", seat.upstream);
    }
}

/// This entry is in a zone that is cut off. After two failed connections it must not try the other
/// zones with more than one request at a time.
#[test]
fn offer_zone_unreached_backs_off() {
    let (mut balancer, ..) = balancer(&["b", "c"]);
    let mut failed = 0;
    for ticket in 0..40 {
        if let Some(seat) = granted(balancer.offer(request(ticket, START), START)) {
            balancer.release(&seat, SendOutcome::Unreached, START);
            failed += 1;
        }
    }
    assert!(failed <= 4, "{failed} connections tried");
    let later = START + Duration::from_secs(1);
    let tried = (50..60).filter_map(|t| granted(balancer.offer(request(t, later), later))).count();
    assert!((1..=2).contains(&tried), "{tried} tried again");
}

/// Replicas crash or close kept-alive connections. Their zone is reachable and must stay in use.
#[rstest]
#[case::crash(SendOutcome::Closed)]
#[case::kept_connection(SendOutcome::Stale)]
fn offer_host_answers_zone_used(#[case] end: SendOutcome) {
    let (mut balancer, ..) = balancer(&["b"]);
    for ticket in 0..3 {
        let seat = granted(balancer.offer(request(ticket, START), START)).unwrap();
        balancer.release(&seat, end, START);
    }
    assert!(granted(balancer.offer(request(9, START), START)).is_some());
}

/// A slow group gets no requests until it is idle. The slowdown learned before must not keep it
/// idle.
#[test]
fn offer_slow_group_idle_tried_again() {
    let (mut balancer, ..) = balancer(&["a"]);
    let mut slow = group_status(true, 0..4);
    slow.pass_ms = 3000.0;
    slow.requests = 8.0;
    (0..20).for_each(|_| balancer.observe_group(&slow, START));
    assert!(granted(balancer.offer(request(1, START), START)).is_some());
}

/// One rank of a group is four times slower, and the other ranks wait for it. It must get at most a
/// third of the requests that each of the others gets.
#[test]
fn offer_slow_rank_gets_fewer() {
    let (mut balancer, ..) = balancer(&["a"]);
    let mut slow = group_status(true, 0..4);
    slow.members[2].slowdown = 4.0;
    balancer.observe_group(&slow, START);
    let mut counts = [0; 4];
    for ticket in 0..24 {
        let Some(mut seat) = granted(balancer.offer(request(ticket, START), START)) else {
            continue;
        };
        balancer.observe_answer(&mut seat, START);
        counts[seat.upstream[2..].parse::<usize>().unwrap()] += 1;
    }
    let others = counts.iter().sum::<i32>() - counts[2];
    assert!(others >= 12 && counts[2] * 3 <= others / 3, "{counts:?}");
}

/// With few seats left, a request that can still meet its latency target must get one, also if a
/// returning request was offered first.
#[rstest]
#[case::new_first(false, 1)]
#[case::returning_waits(true, 2)]
fn offer_order_new_first(#[case] first_returns: bool, #[case] expected: u64) {
    let (mut balancer, ..) = balancer(&["a"]);
    let mut seats = Vec::new();
    for ticket in 100..400 {
        let mut other = request(ticket, START);
        other.is_returning = true;
        if let Some(mut seat) = granted(balancer.offer(other, START)) {
            balancer.observe_answer(&mut seat, START);
            seats.push(seat);
        }
    }
    (100..400).for_each(|t| balancer.withdraw(t));
    for _ in 0..6 {
        let seat = seats.pop().unwrap();
        balancer.release(&seat, SendOutcome::Good, START + Duration::from_millis(10));
    }
    let now = START + Duration::from_millis(20);
    let mut one = request(1, now);
    let mut two = request(2, now);
    (one.is_returning, two.is_returning) = (first_returns, !first_returns);
    let decisions: Vec<(u64, bool)> = [one, two]
        .into_iter()
        .map(|a| (a.ticket, granted(balancer.offer(a, now)).is_some()))
        .collect();
    assert!(
        decisions.iter().any(|(ticket, is_granted)| *ticket == expected && *is_granted),
        "{decisions:?}"
    );
}

/// A stalled group frees no seats, so the rate at which it freed them before no longer counts. A
/// returning request must be refused at once instead of waiting in vain.
#[rstest]
#[case::seats_freed(50, true)]
#[case::nothing_freed(900, false)]
fn offer_queues_while_seats_are_freed(#[case] silence_ms: u64, #[case] waits: bool) {
    let (mut balancer, ..) = balancer(&["a"]);
    let mut seats = Vec::new();
    for ticket in 0..400 {
        if let Some(mut seat) = granted(balancer.offer(request(ticket, START), START)) {
            balancer.observe_answer(&mut seat, START);
            seats.push(seat);
        }
    }
    (0..400).for_each(|ticket| balancer.withdraw(ticket));
    let mut now = START;
    for ticket in 400..440 {
        now += Duration::from_millis(10);
        balancer.release(&seats.remove(0), SendOutcome::Good, now);
        let mut seat = granted(balancer.offer(request(ticket, now), now)).unwrap();
        balancer.observe_answer(&mut seat, now);
        seats.push(seat);
    }
    now += Duration::from_millis(silence_ms);
    let decisions = (500..506).map(|ticket| {
        let mut returning = request(ticket, now);
        returning.is_returning = true;
        balancer.offer(returning, now)
    });
    assert_eq!(matches!(decisions.last(), Some(SeatDecision::Wait)), waits);
}

/// After a crash the store still has the entry of the previous process at the same address.
/// Requests must go to the one that started last.
#[test]
fn install_address_twice_later_start() {
    let (mut balancer, mut directory, config) = balancer(&[]);
    let old = entry(0, "a", "llm");
    let new = UpstreamRecord { started_ms: 2, ..old.clone() };
    directory.put(&id(1), old, at(1));
    directory.put(&id(2), new, at(2));
    balancer.install(&config, &directory, START);
    let seat = granted(balancer.offer(request(1, START), START)).unwrap();
    assert_eq!(seat.upstream, id(2));
    assert_eq!(balancer.upstream_count(), 1);
}

/// Several entries with the same load reports must not all choose the same replica.
#[test]
fn offer_same_reports_spread() {
    let chosen: Vec<Name> = (0..40)
        .map(|entry| {
            let (mut balancer, ..) = balancer(&["a"]);
            granted(balancer.offer(request(entry * 7919, START), START)).unwrap().upstream
        })
        .collect();
    for index in 0..4 {
        let count = chosen.iter().filter(|c| **c == id(index)).count();
        assert!(count <= 24, "{count} of 40 entries chose {}", id(index));
    }
}
