//! Expert maps: the expert in each slot of each rank, layer by layer.

use super::codes;
use super::constants::{COUNT_BYTES, REPORT_BYTES_PER_SECOND, WINDOW_MIN};
use crate::base::code::Code;
use crate::base::digest::Digest;
use crate::fleet::Group;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Dimensions of a group's expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Number of layers that have experts.
    pub layers: u16,
    /// Number of experts in each layer.
    pub experts: u16,
    /// Number of expert slots per layer on each rank.
    pub slots: u16,
}

impl Shape {
    /// Shape of a group in the fleet document.
    pub fn from_group(group: &Group) -> Self {
        Self {
            ranks: group.ranks.len() as u16,
            layers: group.layers,
            experts: group.experts,
            slots: group.slots,
        }
    }

    /// Number of slots of one layer on all ranks.
    pub fn layer_slots(&self) -> usize {
        usize::from(self.ranks) * usize::from(self.slots)
    }

    /// Number of slots of all layers on all ranks.
    pub fn total_slots(&self) -> usize {
        self.layer_slots() * usize::from(self.layers)
    }

    /// Length of the windows in which ranks count tokens: at least [`WINDOW_MIN`], and long enough
    /// that the lead receives at most [`REPORT_BYTES_PER_SECOND`].
    pub fn report_window(&self) -> Duration {
        let bytes = self.total_slots() as u64 * COUNT_BYTES;
        WINDOW_MIN.max(Duration::from_secs(bytes.div_ceil(REPORT_BYTES_PER_SECOND)))
    }

    /// Whether every expert can have a slot, without two replicas on one rank.
    pub fn is_feasible(&self) -> bool {
        self.experts > 0 && self.slots <= self.experts && self.layer_slots() >= self.experts.into()
    }
}

/// Placement of the experts of one layer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayerMap {
    /// The expert in each slot; slot `k` of rank `r` has index `r * slots + k`.
    pub slots: Vec<u16>,
}

impl LayerMap {
    /// Placement before any popularity is known: round-robin over the experts.
    pub fn initial(shape: Shape) -> Self {
        let experts = usize::from(shape.experts);
        Self { slots: (0..shape.layer_slots()).map(|i| (i % experts) as u16).collect() }
    }

    /// Number of replicas of each of `experts` experts.
    pub fn replicas(&self, experts: usize) -> Vec<u16> {
        let mut counts = vec![0; experts];
        self.slots.iter().for_each(|&e| counts[usize::from(e)] += 1);
        counts
    }

    /// Number of loads that turn `self` into `next`: experts that a rank has in `next` and not in
    /// `self`. `slots` is the number of slots per rank.
    pub fn load_count(&self, next: &Self, slots: usize) -> usize {
        let pairs = self.slots.chunks(slots).zip(next.slots.chunks(slots));
        pairs.map(|(old, new)| new.iter().filter(|e| !old.contains(e)).count()).sum()
    }
}

/// Expert map of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    /// Dimensions of the map.
    pub shape: Shape,
    /// One placement per layer.
    pub layers: Vec<LayerMap>,
}

impl ExpertMap {
    /// The initial map of a group, before any popularity is known.
    pub fn initial(shape: Shape) -> Self {
        let layer = LayerMap::initial(shape);
        Self { shape, layers: vec![layer; shape.layers.into()] }
    }

    /// Checks that every slot has a valid expert and every expert has a slot.
    ///
    /// # Errors
    /// `P1700` if a slot or an expert is missing, or an expert's number is out of range.
    pub fn check(&self) -> Result<(), Code> {
        let experts = usize::from(self.shape.experts);
        let fits = |layer: &LayerMap| {
            layer.slots.len() == self.shape.layer_slots()
                && layer.slots.iter().all(|&e| usize::from(e) < experts)
                && layer.replicas(experts).iter().all(|&c| c > 0)
        };
        let has_layers = self.layers.len() == usize::from(self.shape.layers);
        if has_layers && self.layers.iter().all(fits) { Ok(()) } else { Err(codes::MAP_MALFORMED) }
    }

    /// Digest of all slots; it does not cover the shape.
    pub fn digest(&self) -> Digest {
        let slots = self.layers.iter().flat_map(|l| &l.slots);
        let bytes: Vec<u8> = slots.flat_map(|e| e.to_le_bytes()).collect();
        Digest::of(&bytes)
    }

    /// The expert in a slot.
    ///
    /// # Panics
    /// If the layer or the index of the slot is out of range.
    pub fn expert_at(&self, layer: u16, rank: u16, slot: u16) -> u16 {
        let index = usize::from(rank) * usize::from(self.shape.slots) + usize::from(slot);
        self.layers[usize::from(layer)].slots[index]
    }

    /// Replaces the expert in a slot.
    ///
    /// # Panics
    /// If the layer or the index of the slot is out of range.
    pub fn apply(&mut self, change: Move) {
        let slots = usize::from(self.shape.slots);
        let index = usize::from(change.rank) * slots + usize::from(change.slot);
        self.layers[usize::from(change.layer)].slots[index] = change.expert;
    }
}

/// Replacement of the expert in one slot by another that has to be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Index of the layer.
    pub layer: u16,
    /// Index of the rank.
    pub rank: u16,
    /// Index of the slot on the rank.
    pub slot: u16,
    /// The expert to load.
    pub expert: u16,
}
