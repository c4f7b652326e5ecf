//! Queue of requests that wait for admission, ordered by workspace, priority and deadline.

use crate::base::name::Name;
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

/// A request that is offered for admission.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Unique within the process.
    pub id: u64,
    /// Workspace whose share and queue it counts against.
    pub workspace: Name,
    /// Relative share of the workspace; 0 counts as 1.
    pub share: u32,
    /// From 0 (background) to 9 (urgent).
    pub priority: u8,
    /// When the answer must be complete, on the monotonic clock.
    pub deadline: Duration,
    /// Shortest time that it is expected to run.
    pub min_runtime: Duration,
    /// Cost that counts as usage of the workspace, such as tokens.
    pub cost: u32,
}

/// Order within a workspace: the highest priority first, then the earliest deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Reverse<u8>,
    deadline: Duration,
    id: u64,
}

impl QueueKey {
    fn of(offer: &Offer) -> Self {
        Self { priority: Reverse(offer.priority), deadline: offer.deadline, id: offer.id }
    }
}

/// All waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    offers: IndexMap<u64, Offer>,
    by_workspace: IndexMap<Name, BTreeSet<QueueKey>>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.offers.len()
    }

    pub(crate) fn len_of(&self, workspace: &Name) -> usize {
        self.by_workspace.get(workspace).map_or(0, BTreeSet::len)
    }

    /// Waiting requests of the same workspace that would run before `offer`.
    pub(crate) fn ahead(&self, offer: &Offer) -> usize {
        let key = QueueKey::of(offer);
        self.by_workspace.get(&offer.workspace).map_or(0, |p| p.range(..key).count())
    }

    /// The first waiting request of each workspace.
    pub(crate) fn heads(&self) -> impl Iterator<Item = &Offer> {
        self.by_workspace.values().filter_map(|p| p.first()).filter_map(|p| self.offers.get(&p.id))
    }

    /// The least urgent waiting request of a workspace.
    pub(crate) fn last(&self, workspace: &Name) -> Option<&Offer> {
        let key = self.by_workspace.get(workspace)?.last()?;
        self.offers.get(&key.id)
    }

    pub(crate) fn push(&mut self, offer: Offer) {
        let key = QueueKey::of(&offer);
        self.by_workspace.entry(offer.workspace.clone()).or_default().insert(key);
        self.offers.insert(offer.id, offer);
    }

    pub(crate) fn take(&mut self, id: u64) -> Option<Offer> {
        let offer = self.offers.swap_remove(&id)?;
        let keys = self.by_workspace.get_mut(&offer.workspace)?;
        keys.remove(&QueueKey::of(&offer));
        if keys.is_empty() {
            self.by_workspace.swap_remove(&offer.workspace);
        }
        Some(offer)
    }
}
