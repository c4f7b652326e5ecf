//! Requests that wait, by workspace, priority and deadline.

use crate::base::name::Name;
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

/// A request that asks to be admitted.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Identifies it at this process.
    pub id: u64,
    /// Its workspace.
    pub workspace: Name,
    /// The workspace's relative share, at least 1.
    pub share: u32,
    /// From 0 (background) to 9 (urgent).
    pub priority: u8,
    /// When the answer must be whole, on the monotonic clock.
    pub deadline: Duration,
    /// Least time that it is expected to run.
    pub min_runtime: Duration,
    /// What it costs its workspace, such as its tokens.
    pub cost: u32,
}

/// Order within a workspace: the most urgent first, then the earliest deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: Reverse<u8>,
    deadline: Duration,
    id: u64,
}

impl Place {
    fn of(offer: &Offer) -> Self {
        Self { priority: Reverse(offer.priority), deadline: offer.deadline, id: offer.id }
    }
}

/// Every waiting request.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    offers: IndexMap<u64, Offer>,
    places: IndexMap<Name, BTreeSet<Place>>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.offers.len()
    }

    pub(crate) fn len_of(&self, workspace: &Name) -> usize {
        self.places.get(workspace).map_or(0, BTreeSet::len)
    }

    /// Requests of the same workspace that would run before `offer`.
    pub(crate) fn ahead(&self, offer: &Offer) -> usize {
        let place = Place::of(offer);
        self.places.get(&offer.workspace).map_or(0, |p| p.range(..place).count())
    }

    /// The first waiting request of each workspace.
    pub(crate) fn heads(&self) -> impl Iterator<Item = &Offer> {
        self.places.values().filter_map(|p| p.first()).filter_map(|p| self.offers.get(&p.id))
    }

    /// The least urgent waiting request of a workspace.
    pub(crate) fn last(&self, workspace: &Name) -> Option<&Offer> {
        let place = self.places.get(workspace)?.last()?;
        self.offers.get(&place.id)
    }

    pub(crate) fn push(&mut self, offer: Offer) {
        let place = Place::of(&offer);
        self.places.entry(offer.workspace.clone()).or_default().insert(place);
        self.offers.insert(offer.id, offer);
    }

    pub(crate) fn take(&mut self, id: u64) -> Option<Offer> {
        let offer = self.offers.swap_remove(&id)?;
        let places = self.places.get_mut(&offer.workspace)?;
        places.remove(&Place::of(&offer));
        if places.is_empty() {
            self.places.swap_remove(&offer.workspace);
        }
        Some(offer)
    }
}
