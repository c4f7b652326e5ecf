//! Incremental changes of one layer, best gain per load first.

use super::constants::{
    COOL_RANKS_MIN, COOL_SLOTS, POTENTIAL_SQUARINGS, SEARCH_GAIN_MIN, SEARCH_PATIENCE, WARM_RANKS,
};
use super::map::{LayerMap, Move, Shape};

/// What a layer's placement is judged by.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Popularity now, as shares of the layer's tokens.
    pub fast: &'a [f32],
    /// Popularity over the horizon.
    pub slow: &'a [f32],
    /// Share of the horizon for which the popularity of now is expected to last, from 0 to 1.
    pub persistence: f32,
    /// Slowdown of each rank.
    pub slowdowns: &'a [f32],
}

/// One change and the layer's skew after it.
#[derive(Clone, Debug)]
pub struct Change {
    /// The loads: one for a new replica, two for a swap.
    pub moves: Vec<Move>,
    /// Expected skew afterwards: the slowest rank's time relative to an even spread.
    pub skew: f32,
}

#[derive(Clone, Copy, Debug)]
enum Candidate {
    Replace { rank: usize, slot: usize, expert: usize },
    Swap { rank: usize, slot: usize, other: usize, other_slot: usize },
}

impl Candidate {
    fn loads(self) -> f64 {
        match self {
            Self::Replace { .. } => 1.0,
            Self::Swap { .. } => 2.0,
        }
    }
}

/// Change of one rank's loads.
#[derive(Clone, Copy, Debug)]
struct Shift {
    rank: u16,
    fast: f32,
    slow: f32,
}

/// The state of a search in one layer.
pub struct Search<'a> {
    demand: Demand<'a>,
    layer: u16,
    slots: usize,
    ranks: usize,
    placed: Vec<u16>,
    hosts: Vec<Vec<u16>>,
    fast: Vec<f32>,
    slow: Vec<f32>,
    scale: Vec<f32>,
    shift: Vec<Shift>,
    at: Vec<u16>,
}

impl<'a> Search<'a> {
    /// Starts from a layer's present placement.
    pub fn new(layer: u16, placed: &LayerMap, demand: Demand<'a>, shape: Shape) -> Self {
        let ranks = usize::from(shape.ranks);
        let slots = usize::from(shape.slots);
        let mut hosts = vec![Vec::new(); usize::from(shape.experts)];
        for (index, &expert) in placed.slots.iter().enumerate() {
            hosts[usize::from(expert)].push((index / slots) as u16);
        }
        let even = demand.slowdowns.iter().map(|p| 1.0 / p).sum::<f32>();
        let mut search = Self {
            demand,
            layer,
            slots,
            ranks,
            placed: placed.slots.clone(),
            hosts,
            fast: vec![0.0; ranks],
            slow: vec![0.0; ranks],
            scale: demand.slowdowns.iter().map(|p| p * even).collect(),
            shift: Vec::new(),
            at: vec![0; ranks],
        };
        search.sum_loads();
        search
    }

    /// The layer's expected skew over the horizon.
    pub fn skew(&self) -> f32 {
        let peak = |loads: &[f32]| {
            loads.iter().zip(&self.scale).map(|(l, s)| l * s).fold(0.0f32, f32::max)
        };
        self.demand.persistence * peak(&self.fast)
            + (1.0 - self.demand.persistence) * peak(&self.slow)
    }

    /// The placement reached.
    pub fn into_layer(self) -> LayerMap {
        LayerMap { slots: self.placed }
    }

    /// Improves the placement by up to `steps` changes. Ends early once the last
    /// [`SEARCH_PATIENCE`] changes gained less than `worth` for each load.
    pub fn run(&mut self, steps: usize, worth: f64) -> Vec<Change> {
        let mut changes: Vec<Change> = Vec::new();
        let mut before = vec![self.skew()];
        for _ in 0..steps {
            let Some(best) = self.best() else { break };
            let moves = self.apply(best);
            changes.push(Change { moves, skew: self.skew() });
            before.push(self.skew());
            if changes.len() >= SEARCH_PATIENCE {
                let recent = &changes[changes.len() - SEARCH_PATIENCE..];
                let loads: usize = recent.iter().map(|c| c.moves.len()).sum();
                let gain = before[changes.len() - SEARCH_PATIENCE] - self.skew();
                if f64::from(gain) < worth * loads as f64 {
                    break;
                }
            }
        }
        changes
    }

    fn sum_loads(&mut self) {
        self.fast.fill(0.0);
        self.slow.fill(0.0);
        for (expert, hosts) in self.hosts.iter().enumerate() {
            let count = hosts.len().max(1) as f32;
            for &rank in hosts {
                self.fast[usize::from(rank)] += self.demand.fast[expert] / count;
                self.slow[usize::from(rank)] += self.demand.slow[expert] / count;
            }
        }
    }

    fn best(&mut self) -> Option<Candidate> {
        let order = self.ranks_by_load();
        let cool = &order[..order.len().min((COOL_SLOTS / self.slots).max(COOL_RANKS_MIN))];
        let warm: Vec<usize> = order.iter().rev().take(WARM_RANKS).copied().collect();
        let hot = self.hottest();
        let mut best = None;
        let mut score = SEARCH_GAIN_MIN;
        for &rank in hot.iter().take(if hot[0] == hot[1] { 1 } else { 2 }) {
            for candidate in self.candidates(rank, cool, &warm) {
                let found = -self.change(candidate) / candidate.loads();
                if found > score {
                    score = found;
                    best = Some(candidate);
                }
            }
        }
        best
    }

    /// The ranks with the highest load now and over the horizon.
    fn hottest(&self) -> [usize; 2] {
        let top = |loads: &[f32]| {
            let load = |r: &usize| loads[*r] * self.scale[*r];
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
            let lasting = self.demand.persistence;
            (lasting * self.fast[r] + (1.0 - lasting) * self.slow[r]) * self.scale[r]
        };
        order.sort_by(|&a, &b| load(a).total_cmp(&load(b)));
        order
    }

    fn candidates(&self, hot: usize, cool: &[usize], warm: &[usize]) -> Vec<Candidate> {
        let mut found = Vec::new();
        let mut others: Vec<usize> = warm
            .iter()
            .flat_map(|&r| (0..self.slots).map(move |slot| (r, slot)))
            .map(|(r, slot)| self.expert(r, slot))
            .filter(|&e| !self.has(hot, e))
            .collect();
        others.sort_unstable();
        others.dedup();
        for slot in 0..self.slots {
            let expert = self.expert(hot, slot);
            for &rank in cool.iter().filter(|&&r| r != hot && !self.has(r, expert)) {
                self.moves_to(hot, slot, rank, &mut found);
            }
            if self.hosts[expert].len() > 1 {
                let give = |&expert: &usize| Candidate::Replace { rank: hot, slot, expert };
                found.extend(others.iter().map(give));
            }
        }
        found
    }

    /// Ways to give an expert of the hot rank to another rank.
    fn moves_to(&self, hot: usize, slot: usize, rank: usize, found: &mut Vec<Candidate>) {
        let expert = self.expert(hot, slot);
        for other_slot in 0..self.slots {
            let evicted = self.expert(rank, other_slot);
            if self.hosts[evicted].len() > 1 {
                found.push(Candidate::Replace { rank, slot: other_slot, expert });
            }
            if !self.has(hot, evicted) {
                found.push(Candidate::Swap { rank: hot, slot, other: rank, other_slot });
            }
        }
    }

    /// Change of the potential: the sum over ranks of a high power of their relative times.
    fn change(&mut self, candidate: Candidate) -> f64 {
        self.shifts(candidate);
        let lasting = f64::from(self.demand.persistence);
        let mut sum = 0.0;
        for &Shift { rank, fast, slow } in &self.shift {
            let rank = usize::from(rank);
            let scale = self.scale[rank];
            let diff = |load: f32, by: f32| power((load + by) * scale) - power(load * scale);
            sum += lasting * diff(self.fast[rank], fast);
            if lasting < 1.0 {
                sum += (1.0 - lasting) * diff(self.slow[rank], slow);
            }
        }
        sum
    }

    /// Lists how the ranks' loads change.
    fn shifts(&mut self, candidate: Candidate) {
        self.shift.clear();
        match candidate {
            Candidate::Replace { rank, slot, expert } => {
                let evicted = self.expert(rank, slot);
                self.shift_replicas(evicted, -1, rank);
                self.shift_replicas(expert, 1, rank);
            }
            Candidate::Swap { rank, slot, other, other_slot } => {
                let mine = self.expert(rank, slot);
                let theirs = self.expert(other, other_slot);
                let (fast, slow) = self.per_replica(mine, 0);
                let (other_fast, other_slow) = self.per_replica(theirs, 0);
                self.add_shift(rank, other_fast - fast, other_slow - slow);
                self.add_shift(other, fast - other_fast, slow - other_slow);
            }
        }
    }

    fn shift_replicas(&mut self, expert: usize, by: isize, rank: usize) {
        let (fast, slow) = self.per_replica(expert, 0);
        let (next_fast, next_slow) = self.per_replica(expert, by);
        for i in 0..self.hosts[expert].len() {
            let host = usize::from(self.hosts[expert][i]);
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
        let at = usize::from(self.at[rank]);
        let rank = rank as u16;
        match self.shift.get_mut(at).filter(|s| s.rank == rank) {
            Some(found) => {
                found.fast += fast;
                found.slow += slow;
            }
            None => {
                self.at[usize::from(rank)] = self.shift.len() as u16;
                self.shift.push(Shift { rank, fast, slow });
            }
        }
    }

    fn per_replica(&self, expert: usize, by: isize) -> (f32, f32) {
        let count = (self.hosts[expert].len() as isize + by).max(1) as f32;
        (self.demand.fast[expert] / count, self.demand.slow[expert] / count)
    }

    fn apply(&mut self, candidate: Candidate) -> Vec<Move> {
        self.shifts(candidate);
        for &Shift { rank, fast, slow } in &self.shift {
            self.fast[usize::from(rank)] += fast;
            self.slow[usize::from(rank)] += slow;
        }
        match candidate {
            Candidate::Replace { rank, slot, expert } => vec![self.put(rank, slot, expert)],
            Candidate::Swap { rank, slot, other, other_slot } => {
                let mine = self.expert(rank, slot);
                let theirs = self.expert(other, other_slot);
                vec![self.put(rank, slot, theirs), self.put(other, other_slot, mine)]
            }
        }
    }

    fn put(&mut self, rank: usize, slot: usize, expert: usize) -> Move {
        let evicted = self.expert(rank, slot);
        let host = rank as u16;
        if let Some(at) = self.hosts[evicted].iter().position(|h| *h == host) {
            self.hosts[evicted].swap_remove(at);
        }
        self.hosts[expert].push(host);
        self.placed[rank * self.slots + slot] = expert as u16;
        Move { layer: self.layer, rank: host, slot: slot as u16, expert: expert as u16 }
    }

    fn expert(&self, rank: usize, slot: usize) -> usize {
        self.placed[rank * self.slots + slot].into()
    }

    fn has(&self, rank: usize, expert: usize) -> bool {
        let slots = &self.placed[rank * self.slots..(rank + 1) * self.slots];
        slots.iter().any(|&e| usize::from(e) == expert)
    }
}

/// A high power of a relative time, so that the slowest ranks dominate the sum.
fn power(relative: f32) -> f64 {
    let mut value = f64::from(relative);
    for _ in 0..POTENTIAL_SQUARINGS {
        value *= value;
    }
    value
}
