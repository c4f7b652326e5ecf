//! Tests of popularity, straggler detection and placement.

use crate::experts::constants::WARMUP_WINDOWS;
use crate::experts::layout::{lay_out, load_lower_bound, replica_counts};
use crate::experts::map::{ExpertMap, Shape};
use crate::experts::pace::StragglerDetector;
use crate::experts::plan::{Decision, DeclineReason, LoadCost, PlanInput, Weights, decide};
use crate::experts::popularity::{DropReason, ExpertCount, Popularity, RankReport};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);
const SHAPE: Shape = Shape { ranks: 4, layers: 1, experts: 8, slots: 3 };
const SHARES: [f32; 8] = [0.4, 0.2, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05];

fn report(map: &ExpertMap, rank: u16, window: u64, token_ns: u64) -> RankReport {
    let slots = usize::from(SHAPE.slots);
    let from = usize::from(rank) * slots;
    let replicas = map.layers[0].replicas(SHARES.len());
    let count = |&expert: &u16| {
        let index = usize::from(expert);
        let tokens = (SHARES[index] / f32::from(replicas[index]) * 1e6) as u32;
        ExpertCount { layer: 0, expert, tokens, replicas: replicas[index] }
    };
    let counts: Vec<ExpertCount> =
        map.layers[0].slots[from..from + slots].iter().map(count).collect();
    let tokens: u64 = counts.iter().map(|c| u64::from(c.tokens)).sum();
    RankReport { rank, window, counts, busy: Duration::from_nanos(tokens * token_ns) }
}

fn measure(map: &ExpertMap, lost: Option<u16>) -> Popularity {
    let mut popularity = Popularity::new(SHAPE, WINDOW);
    for window in 0..u64::from(WARMUP_WINDOWS) + 4 {
        for rank in (0..SHAPE.ranks).filter(|r| Some(*r) != lost) {
            let report = report(map, rank, window, 10);
            popularity.record(WINDOW * window as u32, &report).unwrap();
        }
    }
    popularity
}

fn plan(map: &ExpertMap, popularity: &Popularity, weights: Weights) -> Decision {
    let at = PlanInput {
        map,
        popularity,
        slowdowns: &[1.0; 4],
        weights,
        load: LoadCost { bytes: 1000, rate: 1e6 },
    };
    decide(WINDOW * 200, &at)
}

#[test]
fn popularity_lost_reports() {
    let map = ExpertMap::initial(SHAPE);
    let complete = measure(&map, None);
    let incomplete = measure(&map, Some(3));
    for (expert, share) in SHARES.iter().enumerate() {
        assert!((complete.fast(0)[expert] - share).abs() < 1e-3);
    }
    assert!((incomplete.fast(0)[0] - SHARES[0]).abs() < 0.05, "{:?}", incomplete.fast(0));
}

#[test]
fn popularity_late_and_repeated() {
    let map = ExpertMap::initial(SHAPE);
    let mut popularity = measure(&map, None);
    let late = report(&map, 0, 1, 10);
    assert_eq!(popularity.record(WINDOW, &late), Err(DropReason::Late));
    let fresh = report(&map, 0, 99, 10);
    assert!(popularity.record(WINDOW, &fresh).is_ok());
    assert_eq!(popularity.record(WINDOW, &fresh), Err(DropReason::Repeated));
    let unknown_rank = RankReport { rank: 9, ..fresh };
    assert_eq!(popularity.record(WINDOW, &unknown_rank), Err(DropReason::Malformed));
}

#[test]
fn layout_hot_expert_replicated() {
    let counts = replica_counts(&SHARES, SHAPE);
    assert_eq!(counts.iter().sum::<u16>(), 12);
    assert!(counts[0] >= 3);
    let layer = lay_out(&SHARES, &[1.0; 4], SHAPE);
    let map = ExpertMap { shape: SHAPE, layers: vec![layer] };
    assert_eq!(map.check(), Ok(()));
    assert!(load_lower_bound(&SHARES, SHAPE) >= 0.25);
}

#[test]
fn straggler_not_popular_expert() {
    let map = ExpertMap::initial(SHAPE);
    let mut detector = StragglerDetector::new(4);
    for window in 0..10 {
        (0..4)
            .for_each(|r| detector.record(&report(&map, r, window, if r == 2 { 14 } else { 10 })));
    }
    assert_eq!(detector.stragglers(), [2]);
    assert!((detector.slowdowns()[2] - 1.4).abs() < 0.01);
    assert!((detector.slowdowns()[0] - 1.0).abs() < 0.01);
}

#[test]
fn plan_first_then_none() {
    let weights = Weights { skew: 1.0, moved: 1.0 };
    let mut map = ExpertMap::initial(SHAPE);
    let popularity = measure(&map, None);
    let Decision::Move(found) = plan(&map, &popularity, weights) else {
        panic!("no first plan");
    };
    found.moves.iter().for_each(|m| map.apply(*m));
    assert_eq!(map.check(), Ok(()));
    let again = plan(&map, &measure(&map, None), weights);
    assert!(matches!(again, Decision::Keep(DeclineReason::Balanced | DeclineReason::Unprofitable)));
}

#[test]
fn plan_waits_for_reports() {
    let map = ExpertMap::initial(SHAPE);
    let popularity = Popularity::new(SHAPE, WINDOW);
    let weights = Weights { skew: 1.0, moved: 1.0 };
    assert!(matches!(plan(&map, &popularity, weights), Decision::Keep(DeclineReason::Warming)));
}
