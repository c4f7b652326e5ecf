//! Expert maps known to one agent, and the changes from one map to the next. Without I/O or clock.
//!
//! A whole map of a large group takes several datagrams, so the lead sends only the lists that
//! change. A digest of the result shows whether both started from the same map.

use super::constants::KNOWN_MAPS;
use super::message::{ExpertLists, ListChange, MapChanges};
use crate::catalog::ExpertFigures;
use std::sync::Arc;

/// A map with the epoch and version under which it was prepared.
#[derive(Clone, Debug)]
struct KnownMap {
    epoch: u64,
    version: u64,
    map: Arc<ExpertLists>,
}

/// The last maps of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct MapStore {
    known: Vec<KnownMap>,
}

impl MapStore {
    /// Remembers a map, in place of the oldest one.
    pub(crate) fn insert(&mut self, epoch: u64, version: u64, map: Arc<ExpertLists>) {
        self.known.retain(|k| k.epoch == epoch && k.version != version);
        self.known.push(KnownMap { epoch, version, map });
        if self.known.len() > KNOWN_MAPS {
            self.known.remove(0);
        }
    }

    /// The map of a version, if it is remembered.
    pub(crate) fn get(&self, epoch: u64, version: u64) -> Option<Arc<ExpertLists>> {
        let is_wanted = |k: &&KnownMap| k.epoch == epoch && k.version == version;
        self.known.iter().find(is_wanted).map(|k| k.map.clone())
    }

    /// Applies changes to the map that they refer to; `None` if that map is not known or the result
    /// differs from the lead's.
    pub(crate) fn apply(
        &self,
        epoch: u64,
        changes: &MapChanges,
        first: impl FnOnce() -> Option<ExpertLists>,
    ) -> Option<Arc<ExpertLists>> {
        let mut map = match self.get(epoch, changes.base) {
            Some(known) => known.as_ref().clone(),
            None if changes.base == 0 => first()?,
            None => return None,
        };
        for change in &changes.lists {
            let list = map.get_mut(usize::from(change.set))?.get_mut(usize::from(change.rank))?;
            list.clone_from(&change.experts);
        }
        (digest(&map) == changes.digest).then(|| Arc::new(map))
    }
}

/// The lists that differ between the map of version `base` and `new`.
pub(crate) fn changes(base: u64, old: &ExpertLists, new: &ExpertLists) -> MapChanges {
    let mut lists = Vec::new();
    for (set, (old, new)) in (0..).zip(old.iter().zip(new)) {
        for (rank, (old, new)) in (0..).zip(old.iter().zip(new)) {
            if old != new {
                lists.push(ListChange { set, rank, experts: new.clone() });
            }
        }
    }
    MapChanges { base, digest: digest(new), lists }
}

/// The map that a group starts with: experts are assigned to the ranks in turn.
pub(crate) fn first_map(size: u16, figures: &ExpertFigures) -> ExpertLists {
    let experts = |rank: u16| (rank..figures.experts).step_by(size.max(1).into()).collect();
    vec![(0..size).map(experts).collect(); figures.sets.into()]
}

/// A complete map in which `rank` has the experts `own`, by set, and the other ranks share the remaining
/// ones in turn; `None` if there is no such rank.
pub(crate) fn map_keeping(
    rank: u16,
    own: &[Vec<u16>],
    size: u16,
    figures: &ExpertFigures,
) -> Option<ExpertLists> {
    let complete = |own: &Vec<u16>| {
        let mut set = vec![Vec::new(); size.into()];
        let others = (0..size).filter(|other| *other != rank).cycle();
        let rest = (0..figures.experts).filter(|expert| !own.contains(expert));
        for (expert, other) in rest.zip(others) {
            set[usize::from(other)].push(expert);
        }
        set[usize::from(rank)].clone_from(own);
        set
    };
    (rank < size).then(|| own.iter().map(complete).collect())
}

/// Whether a map has lists for `size` ranks in each set, and only experts that exist.
pub(crate) fn is_well_formed(map: &ExpertLists, size: u16, figures: &ExpertFigures) -> bool {
    let is_list = |list: &Vec<u16>| {
        list.len() <= usize::from(figures.rank_slots) && list.iter().all(|e| *e < figures.experts)
    };
    let is_set = |set: &Vec<Vec<u16>>| set.len() == usize::from(size) && set.iter().all(is_list);
    map.len() == usize::from(figures.sets) && map.iter().all(is_set)
}

fn digest(map: &ExpertLists) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for list in map.iter().flatten() {
        hasher.update(&(list.len() as u16).to_le_bytes());
        list.iter().for_each(|expert| hasher.update(&expert.to_le_bytes()));
    }
    hasher.digest()
}
