//! Lays a layer out anew: replicas for the hottest experts, then the longest first.

use super::map::{LayerMap, Shape};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Replicas of each expert when every slot is used: each further one goes to the expert with the
/// highest load per replica. Loads are not negative, so the order of their bits is their own.
pub fn replica_counts(share: &[f32], shape: Shape) -> Vec<u16> {
    let mut counts = vec![1u16; share.len()];
    let weight = |e: usize, count: u16| (share[e] / f32::from(count)).max(0.0).to_bits();
    let first = (0..share.len()).map(|e| (weight(e, 1), Reverse(e)));
    let mut queue: BinaryHeap<(u32, Reverse<usize>)> = first.collect();
    let mut spare = shape.layer_slots().saturating_sub(share.len());
    while let (Some((_, Reverse(hot))), true) = (queue.pop(), spare > 0) {
        counts[hot] += 1;
        spare -= 1;
        if counts[hot] < shape.ranks {
            queue.push((weight(hot, counts[hot]), Reverse(hot)));
        }
    }
    counts
}

/// Lower bound of the slowest rank's load: no placement with these slots can go below it.
pub fn load_lower_bound(share: &[f32], shape: Shape) -> f32 {
    let total: f32 = share.iter().sum();
    let counts = replica_counts(share, shape);
    let single = (0..share.len()).map(|e| share[e] / f32::from(counts[e])).fold(0.0, f32::max);
    single.max(total / f32::from(shape.ranks))
}

/// A layout by greedy longest first with replicas. `pace` is the slowdown of each rank.
pub fn lay_out(share: &[f32], pace: &[f32], shape: Shape) -> LayerMap {
    let counts = replica_counts(share, shape);
    let mut items: Vec<(u16, f32)> = Vec::with_capacity(shape.layer_slots());
    for (expert, &count) in (0..).zip(&counts) {
        let load = share[usize::from(expert)] / f32::from(count);
        items.extend((0..count).map(|_| (expert, load)));
    }
    items.resize(shape.layer_slots(), (0, 0.0));
    items.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    let mut packing = Packing::new(pace, shape);
    items.iter().for_each(|&(expert, load)| packing.put(expert, load));
    LayerMap { slots: packing.into_slots() }
}

struct Packing<'a> {
    pace: &'a [f32],
    slots: usize,
    loads: Vec<f32>,
    placed: Vec<Vec<u16>>,
}

impl<'a> Packing<'a> {
    fn new(pace: &'a [f32], shape: Shape) -> Self {
        let ranks = usize::from(shape.ranks);
        let slots = usize::from(shape.slots);
        Self { pace, slots, loads: vec![0.0; ranks], placed: vec![Vec::new(); ranks] }
    }

    /// Puts a replica on the rank that is then the least loaded, and has no other replica of it
    /// if there is such a rank.
    fn put(&mut self, expert: u16, load: f32) {
        let after = |r: &usize| (self.loads[*r] + load) * self.pace[*r];
        let open = (0..self.loads.len()).filter(|&r| self.placed[r].len() < self.slots);
        let key = |r: &usize| (self.placed[*r].contains(&expert), after(r));
        let best = open.min_by(|a, b| {
            let (twice_a, load_a) = key(a);
            let (twice_b, load_b) = key(b);
            twice_a.cmp(&twice_b).then(load_a.total_cmp(&load_b))
        });
        if let Some(rank) = best {
            self.loads[rank] += load;
            self.placed[rank].push(expert);
        }
    }

    fn into_slots(self) -> Vec<u16> {
        self.placed.into_iter().flatten().collect()
    }
}
