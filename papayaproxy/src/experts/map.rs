//! Expert maps: which expert stands in which slot of which rank, for each layer.

use super::codes;
use super::constants::{COUNT_BYTES, REPORT_RATE, WINDOW_MIN};
use crate::base::code::Code;
use crate::base::digest::Digest;
use crate::fleet::Group;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The sizes of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Ranks of the group.
    pub ranks: u16,
    /// Layers with experts.
    pub layers: u16,
    /// Experts in each layer.
    pub experts: u16,
    /// Expert slots per layer on each rank.
    pub slots: u16,
}

impl Shape {
    /// The shape that the document gives a group.
    pub fn of(group: &Group) -> Self {
        Self {
            ranks: group.ranks.len() as u16,
            layers: group.layers,
            experts: group.experts,
            slots: group.slots,
        }
    }

    /// Slots of one layer over all ranks.
    pub fn layer_slots(&self) -> usize {
        usize::from(self.ranks) * usize::from(self.slots)
    }

    /// Slots of the whole map.
    pub fn all_slots(&self) -> usize {
        self.layer_slots() * usize::from(self.layers)
    }

    /// Length of the windows in which ranks count tokens, such that the lead takes in no more than
    /// [`REPORT_RATE`] bytes a second.
    pub fn report_window(&self) -> Duration {
        let bytes = self.all_slots() as u64 * COUNT_BYTES;
        WINDOW_MIN.max(Duration::from_secs(bytes.div_ceil(REPORT_RATE)))
    }

    /// Tells whether every expert can have a slot.
    pub fn is_possible(&self) -> bool {
        self.experts > 0 && self.slots <= self.experts && self.layer_slots() >= self.experts.into()
    }
}

/// The experts of one layer, rank by rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayerMap {
    /// The expert in each slot; slot `k` of rank `r` stands at `r * slots + k`.
    pub slots: Vec<u16>,
}

impl LayerMap {
    /// The layout before any popularity is known: the experts in turn, over and over.
    pub fn initial(shape: Shape) -> Self {
        let experts = usize::from(shape.experts);
        Self { slots: (0..shape.layer_slots()).map(|i| (i % experts) as u16).collect() }
    }

    /// Replicas of each expert.
    pub fn replicas(&self, experts: usize) -> Vec<u16> {
        let mut counts = vec![0; experts];
        self.slots.iter().for_each(|&e| counts[usize::from(e)] += 1);
        counts
    }

    /// Loads that turn `self` into `next`: experts that a rank has in `next` and not in `self`.
    pub fn loads(&self, next: &Self, slots: usize) -> usize {
        let pairs = self.slots.chunks(slots).zip(next.slots.chunks(slots));
        pairs.map(|(old, new)| new.iter().filter(|e| !old.contains(e)).count()).sum()
    }
}

/// The expert map of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    /// The group's sizes.
    pub shape: Shape,
    /// The layers.
    pub layers: Vec<LayerMap>,
}

impl ExpertMap {
    /// The map that a group starts with.
    pub fn initial(shape: Shape) -> Self {
        let layer = LayerMap::initial(shape);
        Self { shape, layers: vec![layer; shape.layers.into()] }
    }

    /// Checks that every slot holds an expert of the layer and every expert has a slot.
    ///
    /// # Errors
    /// `P1700` where that is not so.
    pub fn check(&self) -> Result<(), Code> {
        let experts = usize::from(self.shape.experts);
        let fits = |layer: &LayerMap| {
            layer.slots.len() == self.shape.layer_slots()
                && layer.slots.iter().all(|&e| usize::from(e) < experts)
                && layer.replicas(experts).iter().all(|&c| c > 0)
        };
        let whole = self.layers.len() == usize::from(self.shape.layers);
        if whole && self.layers.iter().all(fits) { Ok(()) } else { Err(codes::MAP_MALFORMED) }
    }

    /// Digest of the content.
    pub fn digest(&self) -> Digest {
        let slots = self.layers.iter().flat_map(|l| &l.slots);
        let bytes: Vec<u8> = slots.flat_map(|e| e.to_le_bytes()).collect();
        Digest::of(&bytes)
    }

    /// The expert in a slot.
    pub fn expert(&self, layer: u16, rank: u16, slot: u16) -> u16 {
        let index = usize::from(rank) * usize::from(self.shape.slots) + usize::from(slot);
        self.layers[usize::from(layer)].slots[index]
    }

    /// Puts an expert into a slot.
    pub fn apply(&mut self, change: Move) {
        let slots = usize::from(self.shape.slots);
        let index = usize::from(change.rank) * slots + usize::from(change.slot);
        self.layers[usize::from(change.layer)].slots[index] = change.expert;
    }
}

/// Loads an expert into a slot of a rank, in place of the expert there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The layer.
    pub layer: u16,
    /// The rank.
    pub rank: u16,
    /// The slot of the rank.
    pub slot: u16,
    /// The expert that is loaded.
    pub expert: u16,
}
