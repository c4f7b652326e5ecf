//! Tests of plans for skewed, even and unknown demand.

use crate::catalog::ExpertFigures;
use crate::ranks::constants::WINDOW_LENGTH;
use crate::ranks::demand::Popularity;
use crate::ranks::maps::first_map;
use crate::ranks::message::ExpertLists;
use crate::ranks::planner::{Plan, PlanInput, SkewMeter, plan, skew_bound, window_skew};
use rstest::rstest;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);
const LIFE: Duration = Duration::from_secs(4);

fn figures(ranks: u16, sets: u16, experts: u16, rank_slots: u16) -> (u16, ExpertFigures) {
    // Experts are smaller where more ranks share them.
    let (copy_us, rank_requests) = (400_000 / u32::from(ranks), 12);
    let spare_slots = 4;
    (ranks, ExpertFigures { sets, experts, rank_slots, spare_slots, copy_us, rank_requests })
}

/// Popularity after two windows with the same counts.
fn settled(figures: ExpertFigures, count: impl Fn(usize) -> u32) -> Popularity {
    let mut popularity = Popularity::new(figures, NOW);
    let cells = usize::from(figures.sets) * usize::from(figures.experts);
    let counts: Vec<u32> = (0..cells).map(count).collect();
    for window in 1..=2 {
        popularity.record(&counts, NOW + WINDOW_LENGTH * window);
    }
    popularity
}

/// Popularity in which a few experts get most of the choices.
fn skewed(figures: ExpertFigures) -> Popularity {
    let experts = usize::from(figures.experts);
    settled(figures, |cell| 40_000 / (1 + (cell % experts * 37 % experts) as u32))
}

fn plan_for(
    popularity: &Popularity,
    lists: &ExpertLists,
    slowdowns: &[f32],
    load: f64,
) -> Option<Plan> {
    plan(PlanInput { popularity, lists, slowdowns, load, life: LIFE })
}

#[rstest]
#[case::today(figures(8, 6, 64, 11))]
#[case::grown(figures(32, 12, 128, 5))]
fn plan_skewed_balances(#[case] (ranks, figures): (u16, ExpertFigures)) {
    let lists = first_map(ranks, &figures);
    let new_plan = plan_for(&skewed(figures), &lists, &vec![1.0; ranks.into()], 1.0).unwrap();
    assert!(
        new_plan.planned_skew < new_plan.skew * 0.7,
        "{} to {}",
        new_plan.skew,
        new_plan.planned_skew
    );
    for (set, before) in new_plan.map.iter().zip(&lists) {
        let mut seen: Vec<u16> = set.iter().flatten().copied().collect();
        seen.sort_unstable();
        seen.dedup();
        assert_eq!(seen.len(), usize::from(figures.experts), "each expert is on some rank");
        for (rank, had) in set.iter().zip(before) {
            assert!(rank.len() <= usize::from(figures.rank_slots));
            let copied = rank.iter().filter(|e| !had.contains(e)).count();
            assert!(copied <= usize::from(figures.spare_slots), "{copied} copies in one set");
        }
    }
}

/// A slow rank gets a smaller share of the choices, since the other ranks wait for it.
#[rstest]
#[case::today(figures(8, 6, 64, 11))]
#[case::grown(figures(32, 12, 128, 5))]
fn plan_rank_slow_relieved(#[case] (ranks, figures): (u16, ExpertFigures)) {
    let (popularity, lists) = (skewed(figures), first_map(ranks, &figures));
    let share = |map: &ExpertLists| -> f32 {
        (0..).zip(map).map(|(set, lists)| rank_share(&popularity, set, lists, 3)).sum()
    };
    let mut slowdowns = vec![1.0; ranks.into()];
    let usual = share(&plan_for(&popularity, &lists, &slowdowns, 1.0).unwrap().map);
    slowdowns[3] = 4.0;
    let slow = share(&plan_for(&popularity, &lists, &slowdowns, 1.0).unwrap().map);
    assert!(slow < usual / 2.0, "{usual} to {slow}");
}

/// Fraction of a set's choices that a rank handles.
fn rank_share(popularity: &Popularity, set: u16, lists: &[Vec<u16>], rank: usize) -> f32 {
    let fast = popularity.shares(set);
    let copies = |e: u16| lists.iter().filter(|l| l.contains(&e)).count() as f32;
    lists[rank].iter().map(|e| fast[usize::from(*e)] / copies(*e)).sum()
}

#[rstest]
#[case::balanced(1.0, 0)]
#[case::idle(0.0, 40_000)]
fn plan_without_gain_none(#[case] load: f64, #[case] step: u32) {
    let (ranks, figures) = figures(8, 6, 64, 11);
    let popularity = settled(figures, |cell| 500 + step / (1 + (cell % 64) as u32));
    assert!(plan_for(&popularity, &first_map(ranks, &figures), &[1.0; 8], load).is_none());
}

/// A lead logs the bound and what passes meet beside a plan; both must be by the same measure.
#[test]
fn window_skew_as_planned() {
    let (ranks, figures) = figures(32, 12, 128, 5);
    let (popularity, lists) = (skewed(figures), first_map(ranks, &figures));
    let new_plan = plan_for(&popularity, &lists, &[1.0; 32], 1.0).unwrap();
    let met = [&lists, &new_plan.map].map(|map| window_skew(&popularity, map));
    assert!((met[0] - new_plan.skew).abs() < 0.01, "{met:?}");
    assert!((met[1] - new_plan.planned_skew).abs() < 0.01, "{met:?}");
    assert!((1.0..new_plan.planned_skew).contains(&skew_bound(&popularity, ranks)));
    let mut meter = SkewMeter::default();
    for (skew, at) in [(9.0, 0), (2.0, 1), (4.0, 2)] {
        meter.observe(skew, Duration::from_secs(at));
    }
    assert_eq!((meter.take_mean(), meter.take_mean()), (Some(3.0), None));
}

#[test]
fn plan_uncounted_none() {
    let (ranks, figures) = figures(8, 6, 64, 11);
    let popularity = Popularity::new(figures, NOW);
    assert!(plan_for(&popularity, &first_map(ranks, &figures), &[1.0; 8], 1.0).is_none());
}
