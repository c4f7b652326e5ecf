//! Plans which experts to copy to which ranks, weighing saved pass time against the time and the
//! cost of the copies.

use super::constants::{
    COPY_IMBALANCE, COPY_SLOWDOWN, LIST_BYTES, MIN_GAIN_PER_COPY, MIN_PLAN_GAIN, MIN_PLAN_LOAD,
    PLAN_BYTES_MAX, QUICK_COPIES_MIN, QUICK_COPY_TIME, SEARCH_STEPS, SWITCH_COST, SWITCH_TIME,
};
use super::demand::Popularity;
use super::message::ExpertLists;
use crate::catalog::ExpertFigures;
use crate::experts::{Demand, LayerMap, Search, Shape, load_lower_bound};
use std::time::Duration;

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
    /// Time until all copies are made.
    pub(crate) copy_time: Duration,
}

/// Circumstances of a plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanInput<'a> {
    pub(crate) popularity: &'a Popularity,
    /// The map in use.
    pub(crate) lists: &'a ExpertLists,
    /// Slowdown of each rank; 1 is usual.
    pub(crate) slowdowns: &'a [f32],
    /// Used fraction of the group's slots.
    pub(crate) load: f64,
    /// Time for which demand is expected to stay as it is.
    pub(crate) life: Duration,
}

/// Limits on the copies of one set.
#[derive(Clone, Copy)]
struct CopyLimits {
    /// Reduction of the set's skew that is worth a copy.
    cost: f64,
    /// Most copies on one rank, over all sets.
    rank: u32,
    /// Most copies in the set.
    set: u64,
}

/// The plan for one set of layers.
struct SetPlan {
    lists: Vec<Vec<u16>>,
    copies: usize,
    skew: f64,
    planned_skew: f64,
}

/// Plans a new map from the one in use; `None` if no map is worth a switch.
///
/// Where the copies of the best map take long, the most valuable ones are made and used first: until
/// the switch every pass takes as long as demand and the old map make it.
pub(crate) fn plan(input: PlanInput<'_>) -> Option<Plan> {
    if !input.popularity.is_settled() || input.load < MIN_PLAN_LOAD {
        return None;
    }
    let full = plan_within(input, u32::MAX)?;
    let copy_time = input.popularity.figures().copy_time();
    let quick_copies = QUICK_COPY_TIME.as_micros() / copy_time.as_micros().max(1);
    let quick_copies = u32::try_from(quick_copies).unwrap_or(u32::MAX).max(QUICK_COPIES_MIN);
    if full.copy_time <= copy_time * quick_copies {
        return Some(full);
    }
    let quick = plan_within(input, quick_copies);
    let is_better = |quick: &Plan| staged_cost(quick, &full) < full.skew * delay(&full);
    Some(quick.filter(is_better).unwrap_or(full))
}

/// Time-weighted skew from a plan to its switch.
fn delay(plan: &Plan) -> f64 {
    let copying = plan.copy_time.as_secs_f64() * (1.0 + COPY_SLOWDOWN);
    copying + SWITCH_TIME.as_secs_f64() + SWITCH_COST.as_secs_f64()
}

/// The same if a quick plan goes before the full one.
fn staged_cost(quick: &Plan, full: &Plan) -> f64 {
    let rest = full.copy_time.saturating_sub(quick.copy_time).as_secs_f64();
    let second = rest * (1.0 + COPY_SLOWDOWN) + (SWITCH_TIME + SWITCH_COST).as_secs_f64();
    // What the full plan would have saved meanwhile.
    let first = delay(quick);
    let missed = (first + second - delay(full)).max(0.0) * full.planned_skew;
    full.skew * first + quick.planned_skew * second - missed
}

/// Plans a map for which no rank makes more than `copies_max` copies.
fn plan_within(input: PlanInput<'_>, copies_max: u32) -> Option<Plan> {
    let PlanInput { popularity, lists, slowdowns, load, life } = input;
    let figures = popularity.figures();
    let ranks = slowdowns.len().max(1);
    let load = load.min(1.0);
    let copies = (u64::from(copies_max) * ranks as u64)
        .min(PLAN_BYTES_MAX / list_bytes(figures) / ranks as u64);
    let limits = CopyLimits {
        cost: copy_cost(figures, ranks, life, load),
        rank: copies_max,
        set: (copies / u64::from(figures.sets.max(1))).max(1),
    };
    // Copies of all sets run one after the other on a rank, so they are spread over the ranks.
    let mut rank_copies = vec![0u32; ranks];
    let sets: Vec<SetPlan> = (0..)
        .zip(lists)
        .map(|(set, lists)| {
            let shares = popularity.shares(set);
            plan_set(figures, shares, lists, slowdowns, limits, &mut rank_copies)
        })
        .collect();
    let mean =
        |field: fn(&SetPlan) -> f64| sets.iter().map(field).sum::<f64>() / sets.len().max(1) as f64;
    let (skew, planned_skew) = (mean(|s| s.skew), mean(|s| s.planned_skew));
    let copies = sets.iter().map(|s| s.copies).sum();
    let most = rank_copies.iter().copied().max().unwrap_or_default();
    let copy_time = figures.copy_time() * most;
    let (life, copying) = (life.as_secs_f64(), copy_time.as_secs_f64());
    let used = (life - copying - SWITCH_TIME.as_secs_f64()).max(0.0);
    let gain = (skew - planned_skew) * load * used;
    let cost = skew * (COPY_SLOWDOWN * copying + SWITCH_COST.as_secs_f64());
    let map = sets.into_iter().map(|s| s.lists).collect();
    let is_worth = skew - planned_skew >= MIN_PLAN_GAIN && gain > cost;
    (copies > 0 && is_worth).then_some(Plan { map, copies, skew, planned_skew, copy_time })
}

/// Bytes of one changed list of a map.
pub(crate) fn list_bytes(figures: ExpertFigures) -> u64 {
    LIST_BYTES + u64::from(figures.rank_slots)
}

/// Lower bound of the skew for the demand seen, as the mean over all sets: experts are spread over
/// all slots, whatever the copies take.
pub(crate) fn skew_bound(popularity: &Popularity, ranks: u16) -> f64 {
    let figures = popularity.figures();
    let (experts, slots) = (figures.experts, figures.rank_slots);
    let shape = Shape { ranks, layers: 1, experts, slots };
    let bound =
        |set| f64::from(load_lower_bound(&popularity.shares(set), shape) * f32::from(ranks));
    (0..figures.sets).map(bound).sum::<f64>() / f64::from(figures.sets.max(1))
}

/// Load of the most loaded rank relative to the mean in the last window, as the mean over all sets:
/// what passes meet with a map, whatever it was planned for.
pub(crate) fn window_skew(popularity: &Popularity, lists: &ExpertLists) -> f64 {
    let experts = usize::from(popularity.figures().experts);
    let set_skew = |(counts, ranks): (&[f32], &Vec<Vec<u16>>)| {
        let mut copies = vec![0.0f32; experts];
        ranks.iter().flatten().for_each(|e| copies[usize::from(*e)] += 1.0);
        let load = |rank: &Vec<u16>| -> f32 {
            rank.iter().map(|e| counts[usize::from(*e)] / copies[usize::from(*e)]).sum()
        };
        let most = ranks.iter().map(load).fold(0.0, f32::max);
        let sum = counts.iter().sum::<f32>();
        if sum > 0.0 { f64::from(most / sum) * ranks.len() as f64 } else { 1.0 }
    };
    let sets = popularity.last_window().chunks(experts).zip(lists);
    sets.map(set_skew).sum::<f64>() / lists.len().max(1) as f64
}

/// Mean over time of the skew that passes meet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SkewMeter {
    /// Sum of skew times seconds.
    sum: f64,
    seconds: f64,
    last_at: Option<Duration>,
}

impl SkewMeter {
    /// Takes the skew of the time since the call before.
    pub(crate) fn observe(&mut self, skew: f64, now: Duration) {
        let elapsed = self.last_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.sum += skew * elapsed.as_secs_f64();
        self.seconds += elapsed.as_secs_f64();
        self.last_at = Some(now);
    }

    /// The mean since the last call of this method; `None` if nothing was observed.
    pub(crate) fn take_mean(&mut self) -> Option<f64> {
        let mean = (self.seconds > 0.0).then(|| self.sum / self.seconds);
        (self.sum, self.seconds) = (0.0, 0.0);
        mean
    }
}

/// Reduction of one set's skew that is worth a copy. Each copy delays the switch of the whole map,
/// and passes are slower meanwhile.
fn copy_cost(figures: ExpertFigures, ranks: usize, life: Duration, load: f64) -> f64 {
    let delay = figures.copy_time().as_secs_f64() * COPY_IMBALANCE / ranks as f64;
    let sets = f64::from(figures.sets);
    let delay_cost = sets * delay * (1.0 + COPY_SLOWDOWN) / life.as_secs_f64().max(0.1);
    delay_cost.max(MIN_GAIN_PER_COPY) / load
}

fn plan_set(
    figures: ExpertFigures,
    mut shares: Vec<f32>,
    ranks: &[Vec<u16>],
    slowdowns: &[f32],
    limits: CopyLimits,
    rank_copies: &mut [u32],
) -> SetPlan {
    // A placeholder expert without demand fills the empty slots.
    let empty = figures.experts;
    shares.push(0.0);
    let shape = Shape {
        ranks: ranks.len() as u16,
        layers: 1,
        experts: figures.experts + 1,
        slots: figures.rank_slots,
    };
    let current = to_layer(ranks, empty, shape);
    let demand = Demand { fast: &shares, slow: &shares, persistence: 1.0, slowdowns };
    let mut search = Search::new(0, &current, demand, shape);
    search.set_rank_costs(rank_copies);
    let spare = u32::from(figures.spare_slots);
    let left = |count: &u32| limits.rank.saturating_sub(*count).min(spare);
    search.set_load_limits(rank_copies.iter().map(left).collect(), limits.set, empty);
    let skew = f64::from(search.skew());
    let changes = search.run(SEARCH_STEPS, limits.cost / 4.0);
    let mut layer = current.clone();
    let mut best = (0.0, current.clone(), Vec::new(), skew);
    for change in changes {
        for step in &change.moves {
            let index = usize::from(step.rank) * usize::from(shape.slots) + usize::from(step.slot);
            layer.slots[index] = step.expert;
        }
        let copies = count_copies(&current, &layer, shape, empty);
        let total = copies.iter().map(|count| u64::from(*count)).sum::<u64>();
        let is_excess = |(sum, count): (&u32, &u32)| {
            *count > u32::from(figures.spare_slots) || sum + count > limits.rank
        };
        if total > limits.set || rank_copies.iter().zip(&copies).any(is_excess) {
            continue;
        }
        let planned_skew = f64::from(change.skew);
        let gain = skew - planned_skew - limits.cost * total as f64;
        if gain > best.0 {
            best = (gain, layer.clone(), copies, planned_skew);
        }
    }
    let (_, layer, copies, planned_skew) = best;
    rank_copies.iter_mut().zip(&copies).for_each(|(sum, count)| *sum += count);
    let copies = copies.iter().sum::<u32>() as usize;
    SetPlan { lists: to_lists(&layer, shape, empty), copies, skew, planned_skew }
}

/// Number of experts that each rank has to copy.
fn count_copies(old: &LayerMap, new: &LayerMap, shape: Shape, empty: u16) -> Vec<u32> {
    let slots = usize::from(shape.slots);
    let pairs = old.slots.chunks(slots).zip(new.slots.chunks(slots));
    let copied = |(old, new): (&[u16], &[u16])| {
        new.iter().filter(|e| **e != empty && !old.contains(e)).count() as u32
    };
    pairs.map(copied).collect()
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
