//! Placement of a layer from scratch: replicas for the hottest experts, then greedy packing with
//! the largest loads first.

use super::map::{LayerMap, Shape};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Number of replicas of each expert when every slot is used: each additional replica goes to the
/// expert with the highest load per replica, up to one per rank. Loads are not negative, so the
/// order of their bit patterns is the order of their values.
pub fn replica_counts(share: &[f32], shape: Shape) -> Vec<u16> {
    let mut counts = vec![1u16; share.len()];
    let replica_load = |e: usize, count: u16| (share[e] / f32::from(count)).max(0.0).to_bits();
    let first = (0..share.len()).map(|e| (replica_load(e, 1), Reverse(e)));
    let mut queue: BinaryHeap<(u32, Reverse<usize>)> = first.collect();
    let mut spare = shape.layer_slots().saturating_sub(share.len());
    while let (Some((_, Reverse(hot))), true) = (queue.pop(), spare > 0) {
        counts[hot] += 1;
        spare -= 1;
        if counts[hot] < shape.ranks {
            queue.push((replica_load(hot, counts[hot]), Reverse(hot)));
        }
    }
    counts
}

/// Lower bound of the highest load of a rank over all placements with these slots, in the unit of
/// `share`. It assumes that all ranks are equally fast.
pub fn load_lower_bound(share: &[f32], shape: Shape) -> f32 {
    let total: f32 = share.iter().sum();
    let counts = replica_counts(share, shape);
    let max_replica = (0..share.len()).map(|e| share[e] / f32::from(counts[e])).fold(0.0, f32::max);
    max_replica.max(total / f32::from(shape.ranks))
}

/// Places the experts and their replicas by descending load, each on the rank that would finish
/// first. `slowdowns` has the slowdown of each rank.
pub fn lay_out(share: &[f32], slowdowns: &[f32], shape: Shape) -> LayerMap {
    let counts = replica_counts(share, shape);
    let mut items: Vec<(u16, f32)> = Vec::with_capacity(shape.layer_slots());
    for (expert, &count) in (0..).zip(&counts) {
        let load = share[usize::from(expert)] / f32::from(count);
        items.extend((0..count).map(|_| (expert, load)));
    }
    items.resize(shape.layer_slots(), (0, 0.0));
    items.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    let mut packing = Packing::new(slowdowns, shape);
    items.iter().for_each(|&(expert, load)| packing.place(expert, load));
    LayerMap { slots: packing.into_slots() }
}

struct Packing<'a> {
    slowdowns: &'a [f32],
    slots: usize,
    loads: Vec<f32>,
    placed: Vec<Vec<u16>>,
}

impl<'a> Packing<'a> {
    fn new(slowdowns: &'a [f32], shape: Shape) -> Self {
        let ranks = usize::from(shape.ranks);
        let slots = usize::from(shape.slots);
        Self { slowdowns, slots, loads: vec![0.0; ranks], placed: vec![Vec::new(); ranks] }
    }

    /// Places a replica on the rank that is least loaded with it. A rank that already has a replica
    /// of the expert is chosen only if no other has a free slot.
    fn place(&mut self, expert: u16, load: f32) {
        let after = |r: &usize| (self.loads[*r] + load) * self.slowdowns[*r];
        let available = (0..self.loads.len()).filter(|&r| self.placed[r].len() < self.slots);
        let key = |r: &usize| (self.placed[*r].contains(&expert), after(r));
        let best = available.min_by(|a, b| {
            let (duplicate_a, load_a) = key(a);
            let (duplicate_b, load_b) = key(b);
            duplicate_a.cmp(&duplicate_b).then(load_a.total_cmp(&load_b))
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
