//! The upstreams, as their own entries in the store tell.

use super::constants::LAPSE_TIME;
use super::events;
use crate::base::name::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// What an upstream says of its own future.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EntryState {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// An upstream's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// The service that it serves.
    pub(crate) service: Name,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Its availability zone.
    pub(crate) zone: Name,
    /// Requests that it runs at a time.
    pub(crate) slots: u32,
    /// Whether it takes work.
    pub(crate) state: EntryState,
    /// Whether it is still slow after its start.
    pub(crate) cold: bool,
    /// Unix milliseconds of its start; tells a new start under an old id.
    pub(crate) born: u64,
}

/// An upstream and where its entry stands.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// The entry as last written.
    pub(crate) entry: Entry,
    /// Revision of its last change.
    pub(crate) revision: u64,
    /// When it was found missing after trouble with the store.
    lapsed: Option<Duration>,
}

/// An entry as read: by id, with the revision of its last change.
pub(crate) type Listed = (Name, Entry, u64);

/// All upstreams by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    rows: IndexMap<Name, Row>,
}

impl Directory {
    /// Upstreams that may take work.
    pub(crate) fn ready(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        let entries = self.rows.iter().map(|(id, row)| (id, &row.entry));
        entries.filter(|(_, entry)| entry.state == EntryState::Ready)
    }

    /// Every entry, for a peer.
    pub(crate) fn list(&self) -> Vec<Listed> {
        let rows = self.rows.iter();
        rows.map(|(id, r)| (id.clone(), r.entry.clone(), r.revision)).collect()
    }

    /// Number of entries.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Takes an entry as written at `revision`. `true` if something has changed.
    pub(crate) fn put(&mut self, id: &Name, entry: Entry, revision: u64) -> bool {
        let known = self.rows.get(id);
        if known.is_some_and(|r| r.revision > revision) {
            return false;
        }
        let changed = known.is_none_or(|r| r.entry != entry || r.lapsed.is_some());
        if changed {
            log_put(id, known, &entry, revision);
        }
        self.rows.insert(id.clone(), Row { entry, revision, lapsed: None });
        changed
    }

    /// Takes note that an entry is gone. With `doubt`, that may be the store's trouble alone, and
    /// the upstream stays in use for a while.
    pub(crate) fn remove(&mut self, id: &str, revision: u64, doubt: bool, now: Duration) -> bool {
        let Some(row) = self.rows.get_mut(id).filter(|r| r.revision <= revision) else {
            return false;
        };
        if doubt && row.entry.state == EntryState::Ready {
            if row.lapsed.is_none() {
                tracing::info!(event = events::UPSTREAM_LAPSED, upstream = id, revision, "lapsed");
                row.lapsed = Some(now);
            }
            return false;
        }
        tracing::info!(
            event = events::UPSTREAM_LEAVING,
            upstream = id,
            reason = "entry removed",
            revision,
            "leaving"
        );
        self.rows.shift_remove(id).is_some()
    }

    /// Takes a whole listing, read at `revision`: what it lacks is gone.
    pub(crate) fn replace(
        &mut self,
        listed: Vec<Listed>,
        revision: u64,
        doubt: bool,
        now: Duration,
    ) -> bool {
        let missing = |id: &&Name| !listed.iter().any(|(other, ..)| other == *id);
        let gone: Vec<Name> = self.rows.keys().filter(missing).cloned().collect();
        let mut changed = false;
        for id in gone {
            changed |= self.remove(&id, revision, doubt, now);
        }
        for (id, entry, at) in listed {
            changed |= self.put(&id, entry, at);
        }
        changed
    }

    /// Lets go of entries that have not come back in time. `returned` is when the store came back.
    pub(crate) fn expire(&mut self, returned: Option<Duration>, now: Duration) -> bool {
        let Some(returned) = returned else { return false };
        let before = self.rows.len();
        self.rows.retain(|id, row| {
            // Counted from the store's return alone: what is missing then has left.
            let keep = row.lapsed.is_none() || now < returned + LAPSE_TIME;
            if !keep {
                let revision = row.revision;
                tracing::info!(
                    event = events::UPSTREAM_LEAVING,
                    upstream = %id,
                    reason = "entry did not come back",
                    revision,
                    "leaving"
                );
            }
            keep
        });
        self.rows.len() != before
    }

    /// Whether entries are missing that may yet come back.
    pub(crate) fn has_lapsed(&self) -> bool {
        self.rows.values().any(|r| r.lapsed.is_some())
    }
}

fn log_put(id: &Name, known: Option<&Row>, entry: &Entry, revision: u64) {
    let was = known.map(|r| r.entry.state);
    match entry.state {
        EntryState::Ready if was != Some(EntryState::Ready) => tracing::info!(
            event = events::UPSTREAM_ADDED,
            upstream = %id,
            service = %entry.service,
            zone = %entry.zone,
            address = %entry.address,
            revision,
            "added"
        ),
        EntryState::Draining if was != Some(EntryState::Draining) => tracing::info!(
            event = events::UPSTREAM_LEAVING,
            upstream = %id,
            reason = "draining",
            revision,
            "leaving"
        ),
        _ => {}
    }
}
