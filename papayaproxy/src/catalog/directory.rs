//! The upstreams, as their own entries in the store tell.

use super::constants::{GONE_KEPT, LAPSE_TIME};
use super::events;
use crate::base::name::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// What an upstream says of its own future.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UpstreamState {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// An upstream's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamRecord {
    /// The service that it serves.
    pub(crate) service: Name,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Its availability zone.
    pub(crate) zone: Name,
    /// Requests that it runs at a time.
    pub(crate) slots: u32,
    /// Whether it takes work.
    pub(crate) state: UpstreamState,
    /// Whether it is still slow after its start.
    pub(crate) cold: bool,
    /// Unix milliseconds of its start; tells a new start under an old id.
    pub(crate) started_ms: u64,
}

/// An upstream and where its entry stands.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// The entry as last written.
    pub(crate) entry: UpstreamRecord,
    /// Revision of its last change.
    pub(crate) revision: u64,
    /// When it was found missing after trouble with the store.
    lapsed: Option<Duration>,
}

/// Revision of a list that the store did not give: it counts as later than any entry.
const ANY_REVISION: u64 = u64::MAX;

/// An entry as read: by id, with the revision of its last change.
pub(crate) type ListedUpstream = (Name, UpstreamRecord, u64);

/// All upstreams by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    rows: IndexMap<Name, Row>,
    /// Revisions at which the store was seen to have removed entries, the latest last.
    gone: IndexMap<Name, u64>,
}

impl Directory {
    /// Upstreams that may take work.
    pub(crate) fn ready(&self) -> impl Iterator<Item = (&Name, &UpstreamRecord)> {
        let entries = self.rows.iter().map(|(id, row)| (id, &row.entry));
        entries.filter(|(_, entry)| entry.state == UpstreamState::Ready)
    }

    /// Every entry, for a peer.
    pub(crate) fn list(&self) -> Vec<ListedUpstream> {
        let rows = self.rows.iter();
        rows.map(|(id, r)| (id.clone(), r.entry.clone(), r.revision)).collect()
    }

    /// Number of entries.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Takes an entry as written at `revision`. `true` if something has changed.
    pub(crate) fn put(&mut self, id: &Name, entry: UpstreamRecord, revision: u64) -> bool {
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
        if doubt && row.entry.state == UpstreamState::Ready {
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
        if revision != ANY_REVISION {
            self.note_gone(id, revision);
        }
        self.rows.shift_remove(id).is_some()
    }

    /// Takes a peer's list: what it lacks is gone, and what has left here stays away, though the peer
    /// may not know that yet.
    pub(crate) fn adopt(&mut self, mut listed: Vec<ListedUpstream>, now: Duration) -> bool {
        listed.retain(|(id, _, at)| self.gone.get(id).is_none_or(|gone| gone < at));
        self.replace(listed, ANY_REVISION, false, now)
    }

    fn note_gone(&mut self, id: &str, revision: u64) {
        self.gone.shift_remove(id);
        self.gone.insert(id.into(), revision);
        if self.gone.len() > GONE_KEPT {
            self.gone.shift_remove_index(0);
        }
    }

    /// Takes a whole listing, read at `revision`: what it lacks is gone.
    pub(crate) fn replace(
        &mut self,
        listed: Vec<ListedUpstream>,
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
        // Counted from the store's return alone: what is missing then has left.
        let Some(returned) = returned.filter(|at| now >= *at + LAPSE_TIME) else { return false };
        let lapsed = self.rows.iter().filter(|(_, row)| row.lapsed.is_some());
        let lapsed: Vec<(Name, u64)> = lapsed.map(|(id, r)| (id.clone(), r.revision)).collect();
        for (id, revision) in &lapsed {
            tracing::info!(
                event = events::UPSTREAM_LEAVING,
                upstream = %id,
                reason = "entry did not come back",
                revision,
                returned_ms = now.saturating_sub(returned).as_millis() as u64,
                "leaving"
            );
            self.rows.shift_remove(id);
            self.note_gone(id, *revision);
        }
        !lapsed.is_empty()
    }

    /// Whether entries are missing that may yet come back.
    pub(crate) fn has_lapsed(&self) -> bool {
        self.rows.values().any(|r| r.lapsed.is_some())
    }
}

fn log_put(id: &Name, known: Option<&Row>, entry: &UpstreamRecord, revision: u64) {
    let was = known.map(|r| r.entry.state);
    match entry.state {
        UpstreamState::Ready if was != Some(UpstreamState::Ready) => tracing::info!(
            event = events::UPSTREAM_ADDED,
            upstream = %id,
            service = %entry.service,
            zone = %entry.zone,
            address = %entry.address,
            revision,
            "added"
        ),
        UpstreamState::Draining if was != Some(UpstreamState::Draining) => tracing::info!(
            event = events::UPSTREAM_LEAVING,
            upstream = %id,
            reason = "draining",
            revision,
            "leaving"
        ),
        _ => {}
    }
}
