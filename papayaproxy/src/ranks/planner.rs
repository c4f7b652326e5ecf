//! Plans which experts to copy to which ranks, weighing saved pass time against the cost of copies.

use super::constants::{
    FAST_WEIGHT, MIN_GAIN_PER_COPY, MIN_PLAN_GAIN, MIN_PLAN_LOAD, SEARCH_STEPS,
};
use super::demand::Popularity;
use super::message::ExpertLists;
use crate::experts::{Demand, LayerMap, Search, Shape};

/// An expert map whose gain exceeds its cost.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Plan {
    /// The map, by set and rank.
    pub(crate) map: ExpertLists,
    /// Number of experts to copy over all ranks and sets.
    pub(crate) copies: usize,
    /// Time of the slowest rank relative to an even spread, as the mean over all sets, with the
    /// present map.
    pub(crate) skew: f64,
    /// The same with the planned map.
    pub(crate) planned_skew: f64,
}

/// The plan for one set of layers.
struct SetPlan {
    lists: Vec<Vec<u16>>,
    copies: usize,
    skew: f64,
    planned_skew: f64,
}

/// Plans a new map from the one in use; `None` if no map is worth a switch. `slowdowns` has one
/// factor for each rank, `load` is the used fraction of the group's slots.
pub(crate) fn plan(
    popularity: &Popularity,
    lists: &ExpertLists,
    slowdowns: &[f32],
    load: f64,
) -> Option<Plan> {
    if !popularity.is_known() || load < MIN_PLAN_LOAD {
        return None;
    }
    let copy_cost = MIN_GAIN_PER_COPY / load.min(1.0);
    let sets: Vec<SetPlan> = (0..)
        .zip(lists)
        .map(|(set, ranks)| plan_set(popularity, set, ranks, slowdowns, copy_cost))
        .collect();
    let mean =
        |field: fn(&SetPlan) -> f64| sets.iter().map(field).sum::<f64>() / sets.len().max(1) as f64;
    let (skew, planned_skew) = (mean(|s| s.skew), mean(|s| s.planned_skew));
    let copies = sets.iter().map(|s| s.copies).sum();
    let map = sets.into_iter().map(|s| s.lists).collect();
    (skew - planned_skew >= MIN_PLAN_GAIN).then_some(Plan { map, copies, skew, planned_skew })
}

fn plan_set(
    popularity: &Popularity,
    set: u16,
    ranks: &[Vec<u16>],
    slowdowns: &[f32],
    copy_cost: f64,
) -> SetPlan {
    let figures = popularity.figures();
    let (mut fast, mut slow) = popularity.shares(set);
    // A placeholder expert without demand fills the empty slots.
    let empty = figures.experts;
    fast.push(0.0);
    slow.push(0.0);
    let shape = Shape {
        ranks: ranks.len() as u16,
        layers: 1,
        experts: figures.experts + 1,
        slots: figures.rank_slots,
    };
    let current = to_layer(ranks, empty, shape);
    let demand = Demand { fast: &fast, slow: &slow, persistence: FAST_WEIGHT, slowdowns };
    let mut search = Search::new(0, &current, demand, shape);
    let skew = f64::from(search.skew());
    let changes = search.run(SEARCH_STEPS, copy_cost / 4.0);
    let mut layer = current.clone();
    let mut best = (0.0, current.clone(), 0, skew);
    for change in changes {
        for step in &change.moves {
            let index = usize::from(step.rank) * usize::from(shape.slots) + usize::from(step.slot);
            layer.slots[index] = step.expert;
        }
        let Some(copies) = count_copies(&current, &layer, shape, empty, figures.spare_slots) else {
            continue;
        };
        let planned_skew = f64::from(change.skew);
        let gain = skew - planned_skew - copy_cost * copies as f64;
        if gain > best.0 {
            best = (gain, layer.clone(), copies, planned_skew);
        }
    }
    let (_, layer, copies, planned_skew) = best;
    SetPlan { lists: to_lists(&layer, shape, empty), copies, skew, planned_skew }
}

/// Number of experts to copy over all ranks; `None` if one rank would copy more than `spare`.
fn count_copies(
    old: &LayerMap,
    new: &LayerMap,
    shape: Shape,
    empty: u16,
    spare: u16,
) -> Option<usize> {
    let slots = usize::from(shape.slots);
    let mut total = 0;
    for (old_rank, new_rank) in old.slots.chunks(slots).zip(new.slots.chunks(slots)) {
        let copied = new_rank.iter().filter(|e| **e != empty && !old_rank.contains(e)).count();
        if copied > usize::from(spare) {
            return None;
        }
        total += copied;
    }
    Some(total)
}

fn to_layer(ranks: &[Vec<u16>], empty: u16, shape: Shape) -> LayerMap {
    let slots = usize::from(shape.slots);
    let padded = ranks
        .iter()
        .flat_map(|experts| experts.iter().copied().chain(std::iter::repeat(empty)).take(slots));
    LayerMap { slots: padded.collect() }
}

fn to_lists(layer: &LayerMap, shape: Shape, empty: u16) -> Vec<Vec<u16>> {
    let ranks = layer.slots.chunks(usize::from(shape.slots));
    ranks
        .map(|slots| {
            let mut experts: Vec<u16> = slots.iter().copied().filter(|e| *e != empty).collect();
            experts.sort_unstable();
            experts.dedup();
            experts
        })
        .collect()
}
