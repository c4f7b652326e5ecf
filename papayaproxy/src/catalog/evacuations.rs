//! Availability zones that the operator evacuates. The set is only replaced by one of a later revision
//! of the store, so that it never goes back, wherever it comes from.

use super::constants::{EVACUATIONS_TOLD_MAX, IGNORED_MAX};
use super::events;
use super::follow::Catalog;
use super::revision::Revision;
use crate::base::name::{NAME_BYTES_MAX, Name};
use crate::platform::{EvacuationChange, OperatorUpdate, StoreError};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// All evacuated zones, as peers tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EvacuatedZones {
    pub(crate) zones: Vec<Name>,
    /// Store revision as of which they are complete.
    pub(crate) revision: Revision,
}

/// The evacuated zones that are known.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuations {
    zones: BTreeSet<Name>,
    /// Store revision as of which the set is complete; `None` before the first.
    revision: Option<Revision>,
    /// Revisions of the invalid keys that have been logged, by key.
    ignored: IndexMap<String, Revision>,
}

impl Evacuations {
    /// The evacuated zones; `None` before they are known.
    pub(crate) fn zones(&self) -> Option<&BTreeSet<Name>> {
        self.revision.map(|_| &self.zones)
    }

    /// The set for peers; `None` before it is known, and if it has too many zones for a datagram.
    pub(crate) fn told(&self) -> Option<EvacuatedZones> {
        let revision = self.revision.filter(|_| self.zones.len() <= EVACUATIONS_TOLD_MAX)?;
        Some(EvacuatedZones { zones: self.zones.iter().cloned().collect(), revision })
    }

    /// Applies a full read of the store at `revision`. Returns whether the set has changed, or is
    /// known for the first time.
    pub(crate) fn apply_read(&mut self, read: &[EvacuationChange], revision: Revision) -> bool {
        // The store may answer a read from before a set that a peer has sent.
        if self.revision.is_some_and(|known| revision < known) {
            return false;
        }
        let mut zones = BTreeSet::new();
        for change in read.iter().filter(|c| c.is_evacuated) {
            zones.extend(self.check_zone(change));
        }
        self.install(zones, revision, "store")
    }

    /// Applies the changes that a watch brought, which the store had sent up to `revision`. The watch
    /// must have begun at a revision that is not later than that of the set. Returns whether the set
    /// has changed.
    pub(crate) fn apply_watch(&mut self, changes: &[EvacuationChange], revision: Revision) -> bool {
        let Some(known) = self.revision else { return false };
        let mut zones = self.zones.clone();
        // The set may have come from a peer since the watch began, and then includes the first ones.
        for change in changes.iter().filter(|c| c.revision > known) {
            let Some(zone) = self.check_zone(change) else { continue };
            if change.is_evacuated {
                zones.insert(zone);
            } else {
                zones.remove(&zone);
            }
        }
        self.install(zones, revision.max(known), "store")
    }

    /// Applies a peer's set, unless the own one is as late. Returns whether the set has changed, or
    /// is known for the first time; `None` if the peer's set is invalid.
    pub(crate) fn apply_peer(&mut self, told: EvacuatedZones) -> Option<bool> {
        if told.zones.iter().any(|zone| zone_fault(zone).is_some()) {
            return None;
        }
        if self.revision.is_some_and(|known| told.revision <= known) {
            return Some(false);
        }
        Some(self.install(told.zones.into_iter().collect(), told.revision, "peer"))
    }

    fn install(&mut self, zones: BTreeSet<Name>, revision: Revision, source: &str) -> bool {
        let number = revision.number;
        for zone in zones.difference(&self.zones) {
            let event = events::EVACUATION_READ;
            tracing::warn!(event, %zone, revision = number, source, "the operator evacuates a zone");
        }
        for zone in self.zones.difference(&zones) {
            let event = events::EVACUATION_GONE;
            tracing::warn!(event, %zone, revision = number, source, "the operator ended an evacuation");
        }
        let is_first = self.revision.replace(revision).is_none();
        let changed = self.zones != zones;
        self.zones = zones;
        changed || is_first
    }

    /// The zone that a key names; `None` if the name is invalid, which is logged once.
    fn check_zone(&mut self, change: &EvacuationChange) -> Option<Name> {
        let EvacuationChange { zone, revision, .. } = change;
        let Some(reason) = zone_fault(zone) else { return Some(zone.as_str().into()) };
        // A long name is known by its first bytes, so that the memory for them is bounded.
        let end = zone.floor_char_boundary(NAME_BYTES_MAX);
        let shown = &zone[..end];
        if self.ignored.insert(shown.to_owned(), *revision) != Some(*revision) {
            let event = events::EVACUATION_IGNORED;
            let revision = revision.number;
            tracing::warn!(event, zone = shown, revision, reason, "evacuation ignored");
        }
        if self.ignored.len() > IGNORED_MAX {
            self.ignored.shift_remove_index(0);
        }
        None
    }
}

/// Why `zone` cannot be the name of an availability zone; `None` if it can.
fn zone_fault(zone: &str) -> Option<&'static str> {
    match zone {
        "" => Some("empty"),
        _ if zone.len() > NAME_BYTES_MAX => Some("longer than 64 bytes"),
        _ if !zone.bytes().all(|b| b.is_ascii_graphic()) => Some("not visible ASCII"),
        _ => None,
    }
}

impl Catalog {
    /// The zones that the operator evacuates; `None` before they are known, and empty if this
    /// process does not read them.
    pub(crate) fn evacuated_zones(&self) -> Option<BTreeSet<Name>> {
        match &self.evacuations {
            Some(evacuations) => evacuations.borrow().zones().cloned(),
            None => Some(BTreeSet::new()),
        }
    }

    /// The evacuated zones for peers; `None` if they are not known or not read.
    pub(crate) fn told_evacuations(&self) -> Option<EvacuatedZones> {
        self.evacuations.as_ref()?.borrow().told()
    }

    /// Store revision as of which the evacuated zones are complete; none if they are not known.
    pub(crate) fn evacuations_revision(&self) -> Revision {
        let evacuations = self.evacuations.as_ref().map(|e| e.borrow().revision);
        evacuations.flatten().unwrap_or_default()
    }

    /// Applies the evacuated zones that a peer knows. Returns whether the own set is then at least
    /// as late as the peer's, so that the age of the peer's configuration holds for it as well.
    pub(crate) fn apply_peer_evacuations(&self, told: Option<EvacuatedZones>) -> bool {
        let Some(own) = &self.evacuations else { return true };
        let applied = told.and_then(|told| own.borrow_mut().apply_peer(told));
        self.notify_evacuations(applied == Some(true));
        applied.is_some()
    }

    /// Applies the evacuations of a full read or of a watch.
    pub(super) fn apply_evacuations(&self, update: &OperatorUpdate, is_full: bool) {
        let Some(own) = &self.evacuations else { return };
        let (changes, revision) = (&update.evacuations, update.config.revision);
        let changed = match is_full {
            true => own.borrow_mut().apply_read(changes, revision),
            false => own.borrow_mut().apply_watch(changes, revision),
        };
        self.notify_evacuations(changed);
    }

    fn notify_evacuations(&self, changed: bool) {
        if changed {
            self.changed.notify_waiters();
        }
    }

    /// Store revision after which the next watch of what the operator writes starts; `None` if it
    /// has to be read in full.
    pub(super) fn operator_revision(&self) -> Option<Revision> {
        let config = self.active().map(|a| a.revision)?;
        // Each may have come from a peer with a later revision than the other one has.
        match &self.evacuations {
            Some(evacuations) => evacuations.borrow().revision.map(|r| r.min(config)),
            None => Some(config),
        }
    }

    /// Reads the configuration, and the evacuations if this process reads them.
    pub(super) async fn read_operator(&self) -> Result<OperatorUpdate, StoreError> {
        match &self.evacuations {
            Some(_) => self.store.read_operator().await,
            None => self.store.read_config().await.map(OperatorUpdate::from),
        }
    }

    /// Waits up to `wait` for changes of the same after `revision`.
    pub(super) async fn watch_operator(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> Result<OperatorUpdate, StoreError> {
        match &self.evacuations {
            Some(_) => self.store.watch_operator(revision, wait).await,
            None => self.store.watch_config(revision, wait).await.map(OperatorUpdate::from),
        }
    }
}
