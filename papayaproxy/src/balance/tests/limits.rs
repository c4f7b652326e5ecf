//! Upstreams that name a limit of requests a second for all entries together.

use super::patterns::{balancer, granted, id, request};
use crate::balance::SeatDecision;
use crate::balance::ask::Seat;
use crate::balance::desk::Balancer;
use crate::balance::upstream::SendOutcome;
use crate::peers::PeerLoads;
use crate::peers::message::LimitNews;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::collections::VecDeque;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
/// Span in which the requests to a limited upstream are counted.
const SPAN: Duration = Duration::from_secs(4);
/// When the upstreams begin to name their limit.
const NAMED_AT: Duration = Duration::from_secs(40);
/// When they stop.
const CLEARED_AT: Duration = Duration::from_secs(60);
const END: Duration = Duration::from_secs(64);
/// Time from a request to the head of its answer, and to its end.
const HEAD_DELAY: Duration = Duration::from_millis(200);
const ANSWER_TIME: Duration = Duration::from_millis(1500);
/// Time after which an entry that was told a limit is counted.
const TOLD_DELAY: Duration = Duration::from_millis(500);
/// Upstreams of the fleet.
const UPSTREAMS: u16 = 16;

struct Fleet {
    entries: Vec<Balancer>,
    /// When each entry was first told a limit by each upstream.
    told: Vec<Vec<Option<Duration>>>,
    /// Requests to each upstream: entry and time.
    sent: Vec<Vec<(usize, Duration)>>,
}

/// Plays `count` entries with `rate` requests a second in all, the first of them with the most. The
/// first `limited` upstreams name `limit`.
fn play(count: usize, rate: f64, limited: u16, limit: f64, seed: u64) -> Fleet {
    let mut rng = StdRng::seed_from_u64(seed);
    let upstreams = usize::from(UPSTREAMS);
    let mut fleet = Fleet {
        entries: (0..count).map(|_| balancer(&["a", "b", "c", "d"]).0).collect(),
        told: vec![vec![None; upstreams]; count],
        sent: vec![Vec::new(); upstreams],
    };
    let mut answers: VecDeque<(Duration, usize, u16, Option<f64>)> = VecDeque::new();
    let mut ends: VecDeque<(Duration, usize, Seat)> = VecDeque::new();
    let mut ticket = 0;
    let mut now = NAMED_AT - Duration::from_secs(4);
    while now < END {
        if now.as_millis().is_multiple_of(150) {
            let loads: Vec<PeerLoads> = fleet.entries.iter().map(loads).collect();
            let news: Vec<Vec<LimitNews>> =
                fleet.entries.iter().map(|e| e.limit_news(now)).collect();
            for (index, entry) in fleet.entries.iter_mut().enumerate() {
                let mut others = PeerLoads::new();
                for (upstream, load) in
                    loads.iter().enumerate().filter(|(i, _)| *i != index).flat_map(|(_, l)| l)
                {
                    let sum = others.entry(*upstream).or_default();
                    (sum.0, sum.1) = (sum.0 + load.0, sum.1 + load.1);
                }
                entry.observe_peers(&others, count, now);
                for (_, news) in news.iter().enumerate().filter(|(i, _)| *i != index) {
                    entry.observe_peer_limits(news, rng.random(), now);
                }
            }
        }
        while answers.front().is_some_and(|a| a.0 <= now) {
            let (_, entry, upstream, limit) = answers.pop_front().unwrap();
            fleet.entries[entry].observe_limit(&id(upstream), limit, rng.random(), now);
            if limit.is_some() {
                fleet.told[entry][usize::from(upstream)].get_or_insert(now);
            }
        }
        while ends.front().is_some_and(|e| e.0 <= now) {
            let (_, entry, seat) = ends.pop_front().unwrap();
            fleet.entries[entry].release(&seat, SendOutcome::Good, now);
        }
        for entry in 0..count {
            let share = if entry < count.div_ceil(4) { 2.0 } else { 0.67 };
            let mut seats: Vec<Seat> = Vec::new();
            if rng.random_bool((rate * share / count as f64 * TICK.as_secs_f64()).min(1.0)) {
                ticket += 1;
                let mut request = request(ticket, now);
                request.draw = rng.random();
                seats.extend(granted(fleet.entries[entry].offer(request, now)));
            }
            let decided = fleet.entries[entry].advance(now);
            seats.extend(decided.into_iter().filter_map(|(_, decision)| granted(decision)));
            for mut seat in seats {
                fleet.entries[entry].observe_answer(&mut seat, now);
                let upstream: u16 = seat.upstream[2..].parse().unwrap();
                fleet.sent[usize::from(upstream)].push((entry, now));
                let names = upstream < limited && (NAMED_AT..CLEARED_AT).contains(&now);
                answers.push_back((now + HEAD_DELAY, entry, upstream, names.then_some(limit)));
                ends.push_back((now + ANSWER_TIME, entry, seat));
            }
        }
        now += TICK;
    }
    fleet
}

fn loads(entry: &Balancer) -> PeerLoads {
    entry.loads().iter().map(|l| (l.upstream, (u32::from(l.running), l.tokens))).collect()
}

/// Most requests to `upstream` in some [`SPAN`], by entries that had been told its limit.
fn most_in_span(fleet: &Fleet, upstream: usize) -> usize {
    let is_counted = |(entry, at): &(usize, Duration)| {
        let told = fleet.told[*entry][upstream];
        *at < CLEARED_AT && told.is_some_and(|told| *at >= told + TOLD_DELAY)
    };
    let sent: Vec<Duration> =
        fleet.sent[upstream].iter().filter(|s| is_counted(s)).map(|(_, at)| *at).collect();
    let in_span =
        |from: &Duration| sent.iter().filter(|at| (*from..*from + SPAN).contains(*at)).count();
    sent.iter().map(in_span).max().unwrap_or_default()
}

/// Guards against upstreams that get far more requests than the limit that they named: at most one
/// and a half times what it allows and five more in any four seconds, however many entries share it.
#[rstest]
#[case::few_entries(8, 75.0, 2, 1.8)]
#[case::most_limited(8, 75.0, 11, 2.5)]
#[case::all_limited(8, 75.0, 16, 1.8)]
#[case::higher_limit(8, 75.0, 8, 6.0)]
#[case::many_entries(98, 75.0, 11, 1.8)]
#[case::many_entries_all(98, 150.0, 16, 1.2)]
#[case::limit_zero(30, 75.0, 4, 0.0)]
fn offer_limit_named_kept(
    #[case] entries: usize,
    #[case] rate: f64,
    #[case] limited: u16,
    #[case] limit: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let fleet = play(entries, rate, limited, limit, seed);
    let allowed = (SPAN.as_secs_f64() * limit * 1.5 + 5.0) as usize;
    for upstream in 0..usize::from(limited) {
        let most = most_in_span(&fleet, upstream);
        assert!(most <= allowed, "{most} requests in a span to {upstream}, allowed {allowed}");
    }
}

/// Where demand exceeds the limits, most of what they allow is used; and once no answer names a
/// limit any more, upstreams get as many requests as before within seconds.
#[rstest]
#[case::few_entries(8)]
#[case::many_entries(98)]
fn offer_limit_used_and_released(#[case] entries: usize) {
    let limit = 2.0;
    let fleet = play(entries, 75.0, UPSTREAMS, limit, 7);
    let count = |from: Duration, until: Duration| {
        fleet.sent.iter().flatten().filter(|(_, at)| (from..until).contains(at)).count() as f64
    };
    let used = count(NAMED_AT + SPAN, CLEARED_AT) / (CLEARED_AT - NAMED_AT - SPAN).as_secs_f64();
    let allowed = f64::from(UPSTREAMS) * limit;
    assert!(used > 0.6 * allowed, "{used:.1} of {allowed} requests a second");
    let after = count(END - Duration::from_secs(1), END);
    assert!(after > 50.0, "{after} of 75 requests a second after the limits ended");
}

/// A request that no upstream may get in time is refused at once, with a time to come back.
#[test]
fn offer_all_limited_refused_at_once() {
    let (mut balancer, ..) = balancer(&["a"]);
    let now = NAMED_AT;
    for upstream in 0..4 {
        balancer.observe_limit(&id(upstream), Some(0.5), u32::MAX, now);
    }
    match balancer.offer(request(1, now), now) {
        SeatDecision::Refuse(refusal) => assert!(refusal.retry_after > Duration::from_secs(1)),
        decision => panic!("{decision:?}"),
    }
}

/// A limit that a peer was told later replaces an older one, and an older one changes nothing.
#[test]
fn observe_peer_limits_latest_kept() {
    let (mut balancer, ..) = balancer(&["a"]);
    let digest = crate::peers::message::digest(&id(0));
    let news = |limit, age_ms| [LimitNews { upstream: digest, limit, age_ms }];
    let now = NAMED_AT;
    balancer.observe_limit(&id(0), Some(2.0), 0, now);
    assert_eq!(balancer.limit_news(now), news(Some(2.0), 0));
    balancer.observe_peer_limits(&news(None, 500), 0, now);
    assert_eq!(balancer.limit_news(now), news(Some(2.0), 0), "older than the own answer");
    let later = now + Duration::from_millis(400);
    balancer.observe_peer_limits(&news(None, 100), 0, later);
    assert_eq!(balancer.limit_news(later), news(None, 100));
}
