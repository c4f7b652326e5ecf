//! Which experts to copy where: by what a copy gains in pass time against what it costs.

use super::constants::{GAIN_PER_COPY, LOAD_LEAST, MOMENT_PART, PLAN_GAIN, SEARCH_STEPS};
use super::demand::Popularity;
use super::message::Lists;
use crate::experts::{Demand, LayerMap, Search, Shape};

/// A map that pays.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Planned {
    /// The map, by set and rank.
    pub(crate) map: Lists,
    /// Experts that ranks have to copy.
    pub(crate) copies: usize,
    /// The most loaded rank against the mean now, over all sets.
    pub(crate) skew: f64,
    /// The same with the map.
    pub(crate) planned: f64,
}

/// One set of a plan.
struct SetPlan {
    lists: Vec<Vec<u16>>,
    copies: usize,
    skew: f64,
    planned: f64,
}

/// Plans from the map in use. `paces` tells how slow each rank is, `load` the part of the group's
/// slots that is taken.
pub(crate) fn plan(
    popularity: &Popularity,
    lists: &Lists,
    paces: &[f32],
    load: f64,
) -> Option<Planned> {
    if !popularity.is_known() || load < LOAD_LEAST {
        return None;
    }
    let price = GAIN_PER_COPY / load.min(1.0);
    let sets: Vec<SetPlan> = (0..)
        .zip(lists)
        .map(|(set, ranks)| plan_set(popularity, set, ranks, paces, price))
        .collect();
    let mean =
        |of: fn(&SetPlan) -> f64| sets.iter().map(of).sum::<f64>() / sets.len().max(1) as f64;
    let (skew, planned) = (mean(|s| s.skew), mean(|s| s.planned));
    let copies = sets.iter().map(|s| s.copies).sum();
    let map = sets.into_iter().map(|s| s.lists).collect();
    (skew - planned >= PLAN_GAIN).then_some(Planned { map, copies, skew, planned })
}

fn plan_set(
    popularity: &Popularity,
    set: u16,
    ranks: &[Vec<u16>],
    paces: &[f32],
    price: f64,
) -> SetPlan {
    let figures = popularity.figures();
    let (mut fast, mut slow) = popularity.shares(set);
    // An expert that nobody chooses stands for the free places.
    let free = figures.experts;
    fast.push(0.0);
    slow.push(0.0);
    let shape = Shape {
        ranks: ranks.len() as u16,
        layers: 1,
        experts: figures.experts + 1,
        slots: figures.places,
    };
    let start = to_layer(ranks, free, shape);
    let demand = Demand { fast: &fast, slow: &slow, persistence: MOMENT_PART, slowdowns: paces };
    let mut search = Search::new(0, &start, demand, shape);
    let skew = f64::from(search.skew());
    let changes = search.run(SEARCH_STEPS, price / 4.0);
    let mut layer = start.clone();
    let mut best = (0.0, start.clone(), 0, skew);
    for change in changes {
        for step in &change.moves {
            let at = usize::from(step.rank) * usize::from(shape.slots) + usize::from(step.slot);
            layer.slots[at] = step.expert;
        }
        let Some(copies) = copies(&start, &layer, shape, free, figures.spare) else { continue };
        let planned = f64::from(change.skew);
        let gain = skew - planned - price * copies as f64;
        if gain > best.0 {
            best = (gain, layer.clone(), copies, planned);
        }
    }
    let (_, layer, copies, planned) = best;
    SetPlan { lists: to_lists(&layer, shape, free), copies, skew, planned }
}

/// Experts that ranks have to copy; `None` where one rank has more than it may.
fn copies(old: &LayerMap, new: &LayerMap, shape: Shape, free: u16, spare: u16) -> Option<usize> {
    let slots = usize::from(shape.slots);
    let mut all = 0;
    for (had, has) in old.slots.chunks(slots).zip(new.slots.chunks(slots)) {
        let copied = has.iter().filter(|e| **e != free && !had.contains(e)).count();
        if copied > usize::from(spare) {
            return None;
        }
        all += copied;
    }
    Some(all)
}

fn to_layer(ranks: &[Vec<u16>], free: u16, shape: Shape) -> LayerMap {
    let slots = usize::from(shape.slots);
    let padded = ranks
        .iter()
        .flat_map(|experts| experts.iter().copied().chain(std::iter::repeat(free)).take(slots));
    LayerMap { slots: padded.collect() }
}

fn to_lists(layer: &LayerMap, shape: Shape, free: u16) -> Vec<Vec<u16>> {
    let ranks = layer.slots.chunks(usize::from(shape.slots));
    ranks
        .map(|slots| {
            let mut experts: Vec<u16> = slots.iter().copied().filter(|e| *e != free).collect();
            experts.sort_unstable();
            experts.dedup();
            experts
        })
        .collect()
}
