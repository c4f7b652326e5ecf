//! Tests of plans for skewed, even and unknown demand.

use crate::catalog::ExpertFigures;
use crate::ranks::demand::Popularity;
use crate::ranks::message::ExpertLists;
use crate::ranks::planner::plan;
use rstest::rstest;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);

fn figures(ranks: u16, sets: u16, experts: u16, rank_slots: u16) -> (u16, ExpertFigures) {
    (ranks, ExpertFigures { sets, experts, rank_slots, spare_slots: 4 })
}

/// The map that a group starts with: experts assigned round-robin.
fn first_map(ranks: u16, figures: ExpertFigures) -> ExpertLists {
    let of = |rank: u16| (0..figures.experts).filter(|e| e % ranks == rank).collect::<Vec<u16>>();
    vec![(0..ranks).map(of).collect(); figures.sets.into()]
}

/// Popularity in which a few experts get most of the choices.
fn skewed(figures: ExpertFigures) -> Popularity {
    let mut popularity = Popularity::new(figures, NOW);
    let cells = usize::from(figures.sets) * usize::from(figures.experts);
    let experts = usize::from(figures.experts);
    let count = |cell: usize| 40_000 / (1 + (cell % experts * 37 % experts) as u32);
    popularity.record(&(0..cells).map(count).collect::<Vec<u32>>(), NOW);
    popularity
}

#[rstest]
#[case::today(figures(8, 6, 64, 11))]
#[case::grown(figures(32, 12, 128, 5))]
fn plan_skewed_balances(#[case] (ranks, figures): (u16, ExpertFigures)) {
    let lists = first_map(ranks, figures);
    let new_plan = plan(&skewed(figures), &lists, &vec![1.0; ranks.into()], 1.0).unwrap();
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
    let (popularity, lists) = (skewed(figures), first_map(ranks, figures));
    let share = |map: &ExpertLists| -> f32 {
        (0..).zip(map).map(|(set, lists)| rank_share(&popularity, set, lists, 3)).sum()
    };
    let mut slowdowns = vec![1.0; ranks.into()];
    let usual = share(&plan(&popularity, &lists, &slowdowns, 1.0).unwrap().map);
    slowdowns[3] = 4.0;
    let slow = share(&plan(&popularity, &lists, &slowdowns, 1.0).unwrap().map);
    assert!(slow < usual / 2.0, "{usual} to {slow}");
}

/// Fraction of a set's choices that a rank handles.
fn rank_share(popularity: &Popularity, set: u16, lists: &[Vec<u16>], rank: usize) -> f32 {
    let (fast, _) = popularity.shares(set);
    let copies = |e: u16| lists.iter().filter(|l| l.contains(&e)).count() as f32;
    lists[rank].iter().map(|e| fast[usize::from(*e)] / copies(*e)).sum()
}

#[rstest]
#[case::balanced(1.0, 0)]
#[case::idle(0.0, 40_000)]
fn plan_without_gain_none(#[case] load: f64, #[case] step: u32) {
    let (ranks, figures) = figures(8, 6, 64, 11);
    let cells = usize::from(figures.sets) * usize::from(figures.experts);
    let mut popularity = Popularity::new(figures, NOW);
    let count = |cell: usize| 500 + step / (1 + (cell % 64) as u32);
    popularity.record(&(0..cells).map(count).collect::<Vec<u32>>(), NOW);
    assert!(plan(&popularity, &first_map(ranks, figures), &[1.0; 8], load).is_none());
}

#[test]
fn plan_uncounted_none() {
    let (ranks, figures) = figures(8, 6, 64, 11);
    let popularity = Popularity::new(figures, NOW);
    assert!(plan(&popularity, &first_map(ranks, figures), &[1.0; 8], 1.0).is_none());
}
