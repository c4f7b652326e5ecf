//! Local search for changes to the placement of one layer, by gain per load.

use super::constants::{
    POTENTIAL_SQUARINGS, RANK_COST_WEIGHT, SEARCH_GAIN_MIN, SEARCH_PATIENCE, SOURCE_RANKS,
    TARGET_RANKS_MIN, TARGET_SLOTS,
};
use super::map::{LayerMap, Move, Shape};

/// Load of a layer's experts and speed of the ranks, by which a placement is rated.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Current popularity of each expert, as share of the layer's tokens.
    pub fast: &'a [f32],
    /// Popularity of each expert over the planning horizon, as share of the layer's tokens.
    pub slow: &'a [f32],
    /// Fraction of the horizon for which the current popularity is expected to last, from 0 to 1.
    pub persistence: f32,
    /// Slowdown of each rank; 1 is usual.
    pub slowdowns: &'a [f32],
}

/// One change to the placement and the layer's skew after it.
#[derive(Clone, Debug)]
pub struct Change {
    /// One move for a replacement, two for a swap.
    pub moves: Vec<Move>,
    /// Expected skew after the change: time of the slowest rank relative to an even distribution.
    pub skew: f32,
}

#[derive(Clone, Copy, Debug)]
enum Candidate {
    Replace { rank: usize, slot: usize, expert: usize },
    Swap { rank: usize, slot: usize, other: usize, other_slot: usize },
}

/// Change of one rank's load by a candidate.
#[derive(Clone, Copy, Debug)]
struct LoadShift {
    rank: u16,
    fast: f32,
    slow: f32,
}

/// Local search over the placements of one layer.
pub struct Search<'a> {
    demand: Demand<'a>,
    layer: u16,
    slots: usize,
    ranks: usize,
    placement: Vec<u16>,
    replica_ranks: Vec<Vec<u16>>,
    fast: Vec<f32>,
    slow: Vec<f32>,
    time_scale: Vec<f32>,
    shifts: Vec<LoadShift>,
    shift_index: Vec<u16>,
    /// Cost of a load on each rank; 1 is usual.
    load_costs: Vec<f64>,
    limits: Option<LoadLimits>,
}

/// Limits on the experts that each rank loads.
struct LoadLimits {
    /// The placement that the search started from.
    initial: Vec<u16>,
    /// Number of experts on each rank that it did not have initially.
    loads: Vec<u32>,
    /// Largest such number of each rank.
    most: Vec<u32>,
    /// Largest sum of loads over all ranks; a swap may exceed it by one.
    sum: u64,
    /// The expert that stands for an empty slot; it needs no load.
    empty: u16,
}

impl<'a> Search<'a> {
    /// Starts from the given placement of the layer.
    pub fn new(layer: u16, layer_map: &LayerMap, demand: Demand<'a>, shape: Shape) -> Self {
        let ranks = usize::from(shape.ranks);
        let slots = usize::from(shape.slots);
        let mut replica_ranks = vec![Vec::new(); usize::from(shape.experts)];
        for (index, &expert) in layer_map.slots.iter().enumerate() {
            replica_ranks[usize::from(expert)].push((index / slots) as u16);
        }
        let even = demand.slowdowns.iter().map(|p| 1.0 / p).sum::<f32>();
        let mut search = Self {
            demand,
            layer,
            slots,
            ranks,
            placement: layer_map.slots.clone(),
            replica_ranks,
            fast: vec![0.0; ranks],
            slow: vec![0.0; ranks],
            time_scale: demand.slowdowns.iter().map(|p| p * even).collect(),
            shifts: Vec::new(),
            shift_index: vec![0; ranks],
            load_costs: vec![1.0; ranks],
            limits: None,
        };
        search.compute_loads();
        search
    }

    /// Limits the experts that each rank loads, compared with the placement so far, to `most`, and
    /// ends the search at `sum` loads. The expert `empty` stands for an empty slot.
    pub fn set_load_limits(&mut self, most: Vec<u32>, sum: u64, empty: u16) {
        let (initial, loads) = (self.placement.clone(), vec![0; self.ranks]);
        self.limits = Some(LoadLimits { initial, loads, most, sum, empty });
    }

    /// Makes loads on a rank the more expensive, the more it has to do already: `counts` has the
    /// number of loads of each rank.
    pub fn set_rank_costs(&mut self, counts: &[u32]) {
        let mean = counts.iter().sum::<u32>() as f64 / counts.len().max(1) as f64;
        for (cost, count) in self.load_costs.iter_mut().zip(counts) {
            *cost = 1.0 + RANK_COST_WEIGHT * (f64::from(*count) - mean).max(0.0);
        }
    }

    /// Expected skew of the layer over the horizon: time of the slowest rank relative to an even
    /// distribution.
    pub fn skew(&self) -> f32 {
        let peak = |loads: &[f32]| {
            loads.iter().zip(&self.time_scale).map(|(l, s)| l * s).fold(0.0f32, f32::max)
        };
        self.demand.persistence * peak(&self.fast)
            + (1.0 - self.demand.persistence) * peak(&self.slow)
    }

    /// The placement after all changes.
    pub fn into_layer(self) -> LayerMap {
        LayerMap { slots: self.placement }
    }

    /// Improves the placement by up to `max_changes` changes. Ends early if no change reduces the
    /// potential by more than [`SEARCH_GAIN_MIN`] per load, or once the last [`SEARCH_PATIENCE`]
    /// changes reduced the skew by less than `min_gain` per load.
    pub fn run(&mut self, max_changes: usize, min_gain: f64) -> Vec<Change> {
        let mut changes: Vec<Change> = Vec::new();
        let mut skews = vec![self.skew()];
        for _ in 0..max_changes {
            let is_full =
                |l: &LoadLimits| l.loads.iter().copied().map(u64::from).sum::<u64>() >= l.sum;
            if self.limits.as_ref().is_some_and(is_full) {
                break;
            }
            let Some(best) = self.best_candidate() else { break };
            let moves = self.apply(best);
            changes.push(Change { moves, skew: self.skew() });
            skews.push(self.skew());
            if changes.len() >= SEARCH_PATIENCE {
                let recent = &changes[changes.len() - SEARCH_PATIENCE..];
                let loads: usize = recent.iter().map(|c| c.moves.len()).sum();
                let gain = skews[changes.len() - SEARCH_PATIENCE] - self.skew();
                if f64::from(gain) < min_gain * loads as f64 {
                    break;
                }
            }
        }
        changes
    }

    fn compute_loads(&mut self) {
        self.fast.fill(0.0);
        self.slow.fill(0.0);
        for (expert, replica_ranks) in self.replica_ranks.iter().enumerate() {
            let count = replica_ranks.len().max(1) as f32;
            for &rank in replica_ranks {
                self.fast[usize::from(rank)] += self.demand.fast[expert] / count;
                self.slow[usize::from(rank)] += self.demand.slow[expert] / count;
            }
        }
    }

    fn best_candidate(&mut self) -> Option<Candidate> {
        let order = self.ranks_by_load();
        let has_room = |r: &usize| self.limits.as_ref().is_none_or(|l| l.loads[*r] < l.most[*r]);
        let targets_max = (TARGET_SLOTS / self.slots).max(TARGET_RANKS_MIN);
        let targets: Vec<usize> =
            order.iter().copied().filter(has_room).take(targets_max).collect();
        let sources: Vec<usize> = order.iter().rev().take(SOURCE_RANKS).copied().collect();
        let hot = self.hottest_ranks();
        let mut best = None;
        let mut score = SEARCH_GAIN_MIN;
        for &rank in hot.iter().take(if hot[0] == hot[1] { 1 } else { 2 }) {
            for candidate in self.candidates(rank, &targets, &sources) {
                let found = -self.potential_change(candidate) / self.load_cost(candidate);
                if found > score {
                    score = found;
                    best = Some(candidate);
                }
            }
        }
        best
    }

    fn load_cost(&self, candidate: Candidate) -> f64 {
        match candidate {
            Candidate::Replace { rank, .. } => self.load_costs[rank],
            Candidate::Swap { rank, other, .. } => self.load_costs[rank] + self.load_costs[other],
        }
    }

    /// The slowest rank by current load and the slowest by load over the horizon.
    fn hottest_ranks(&self) -> [usize; 2] {
        let top = |loads: &[f32]| {
            let load = |r: &usize| loads[*r] * self.time_scale[*r];
            (0..self.ranks).max_by(|a, b| load(a).total_cmp(&load(b))).unwrap_or_default()
        };
        if self.demand.persistence >= 1.0 {
            return [top(&self.fast); 2];
        }
        [top(&self.fast), top(&self.slow)]
    }

    fn ranks_by_load(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.ranks).collect();
        let load = |r: usize| {
            let persistence = self.demand.persistence;
            (persistence * self.fast[r] + (1.0 - persistence) * self.slow[r]) * self.time_scale[r]
        };
        order.sort_by(|&a, &b| load(a).total_cmp(&load(b)));
        order
    }

    fn candidates(&self, hot: usize, targets: &[usize], sources: &[usize]) -> Vec<Candidate> {
        let mut found = Vec::new();
        let mut others: Vec<usize> = sources
            .iter()
            .flat_map(|&r| (0..self.slots).map(move |slot| (r, slot)))
            .map(|(r, slot)| self.expert_at(r, slot))
            .filter(|&e| !self.has_expert(hot, e))
            .collect();
        others.sort_unstable();
        others.dedup();
        for slot in 0..self.slots {
            let expert = self.expert_at(hot, slot);
            for &rank in targets.iter().filter(|&&r| r != hot && !self.has_expert(r, expert)) {
                self.push_transfers(hot, slot, rank, &mut found);
            }
            if self.replica_ranks[expert].len() > 1 {
                let others = others.iter().filter(|&&e| self.may_place(hot, slot, e));
                found.extend(others.map(|&expert| Candidate::Replace { rank: hot, slot, expert }));
            }
        }
        found
    }

    /// Adds the candidates that replicate an expert of the hot rank on another rank, or swap it for
    /// an expert there.
    fn push_transfers(&self, hot: usize, slot: usize, rank: usize, found: &mut Vec<Candidate>) {
        let expert = self.expert_at(hot, slot);
        for other_slot in 0..self.slots {
            let evicted = self.expert_at(rank, other_slot);
            if !self.may_place(rank, other_slot, expert) {
                continue;
            }
            if self.replica_ranks[evicted].len() > 1 {
                found.push(Candidate::Replace { rank, slot: other_slot, expert });
            }
            if !self.has_expert(hot, evicted) && self.may_place(hot, slot, evicted) {
                found.push(Candidate::Swap { rank: hot, slot, other: rank, other_slot });
            }
        }
    }

    /// Change of the potential, which is the sum over all ranks of a high power of their relative
    /// time.
    fn potential_change(&mut self, candidate: Candidate) -> f64 {
        self.compute_shifts(candidate);
        let persistence = f64::from(self.demand.persistence);
        let mut sum = 0.0;
        for &LoadShift { rank, fast, slow } in &self.shifts {
            let rank = usize::from(rank);
            let time_scale = self.time_scale[rank];
            let diff =
                |load: f32, by: f32| power((load + by) * time_scale) - power(load * time_scale);
            sum += persistence * diff(self.fast[rank], fast);
            if persistence < 1.0 {
                sum += (1.0 - persistence) * diff(self.slow[rank], slow);
            }
        }
        sum
    }

    /// Fills `shifts` with the changes of the ranks' loads by a candidate.
    fn compute_shifts(&mut self, candidate: Candidate) {
        self.shifts.clear();
        match candidate {
            Candidate::Replace { rank, slot, expert } => {
                let evicted = self.expert_at(rank, slot);
                self.shift_replicas(evicted, -1, rank);
                self.shift_replicas(expert, 1, rank);
            }
            Candidate::Swap { rank, slot, other, other_slot } => {
                let mine = self.expert_at(rank, slot);
                let theirs = self.expert_at(other, other_slot);
                let (fast, slow) = self.replica_load(mine, 0);
                let (other_fast, other_slow) = self.replica_load(theirs, 0);
                self.add_shift(rank, other_fast - fast, other_slow - slow);
                self.add_shift(other, fast - other_fast, slow - other_slow);
            }
        }
    }

    fn shift_replicas(&mut self, expert: usize, by: isize, rank: usize) {
        let (fast, slow) = self.replica_load(expert, 0);
        let (next_fast, next_slow) = self.replica_load(expert, by);
        for i in 0..self.replica_ranks[expert].len() {
            let host = usize::from(self.replica_ranks[expert][i]);
            if host != rank {
                self.add_shift(host, next_fast - fast, next_slow - slow);
            }
        }
        if by > 0 {
            self.add_shift(rank, next_fast, next_slow);
        } else {
            self.add_shift(rank, -fast, -slow);
        }
    }

    fn add_shift(&mut self, rank: usize, fast: f32, slow: f32) {
        let at = usize::from(self.shift_index[rank]);
        let rank = rank as u16;
        match self.shifts.get_mut(at).filter(|s| s.rank == rank) {
            Some(found) => {
                found.fast += fast;
                found.slow += slow;
            }
            None => {
                self.shift_index[usize::from(rank)] = self.shifts.len() as u16;
                self.shifts.push(LoadShift { rank, fast, slow });
            }
        }
    }

    fn replica_load(&self, expert: usize, by: isize) -> (f32, f32) {
        let count = (self.replica_ranks[expert].len() as isize + by).max(1) as f32;
        (self.demand.fast[expert] / count, self.demand.slow[expert] / count)
    }

    fn apply(&mut self, candidate: Candidate) -> Vec<Move> {
        self.compute_shifts(candidate);
        for &LoadShift { rank, fast, slow } in &self.shifts {
            self.fast[usize::from(rank)] += fast;
            self.slow[usize::from(rank)] += slow;
        }
        match candidate {
            Candidate::Replace { rank, slot, expert } => vec![self.place(rank, slot, expert)],
            Candidate::Swap { rank, slot, other, other_slot } => {
                let mine = self.expert_at(rank, slot);
                let theirs = self.expert_at(other, other_slot);
                vec![self.place(rank, slot, theirs), self.place(other, other_slot, mine)]
            }
        }
    }

    /// Whether the limits allow the rank to have the expert in place of the one in the slot.
    fn may_place(&self, rank: usize, slot: usize, expert: usize) -> bool {
        let Some(limits) = &self.limits else { return true };
        let freed = self.is_load(rank, self.expert_at(rank, slot));
        !self.is_load(rank, expert) || limits.loads[rank] - u32::from(freed) < limits.most[rank]
    }

    /// Whether the rank has to load the expert, since it did not have it initially.
    fn is_load(&self, rank: usize, expert: usize) -> bool {
        let Some(limits) = &self.limits else { return false };
        let initial = &limits.initial[rank * self.slots..(rank + 1) * self.slots];
        expert != usize::from(limits.empty) && initial.iter().all(|e| usize::from(*e) != expert)
    }

    fn place(&mut self, rank: usize, slot: usize, expert: usize) -> Move {
        let evicted = self.expert_at(rank, slot);
        let (adds, frees) = (self.is_load(rank, expert), self.is_load(rank, evicted));
        if let Some(limits) = &mut self.limits {
            limits.loads[rank] = limits.loads[rank] + u32::from(adds) - u32::from(frees);
        }
        let host = rank as u16;
        if let Some(at) = self.replica_ranks[evicted].iter().position(|h| *h == host) {
            self.replica_ranks[evicted].swap_remove(at);
        }
        self.replica_ranks[expert].push(host);
        self.placement[rank * self.slots + slot] = expert as u16;
        Move { layer: self.layer, rank: host, slot: slot as u16, expert: expert as u16 }
    }

    fn expert_at(&self, rank: usize, slot: usize) -> usize {
        self.placement[rank * self.slots + slot].into()
    }

    fn has_expert(&self, rank: usize, expert: usize) -> bool {
        let slots = &self.placement[rank * self.slots..(rank + 1) * self.slots];
        slots.iter().any(|&e| usize::from(e) == expert)
    }
}

/// High power of a relative time, so that the slowest ranks dominate the potential.
fn power(relative: f32) -> f64 {
    let mut value = f64::from(relative);
    for _ in 0..POTENTIAL_SQUARINGS {
        value *= value;
    }
    value
}
