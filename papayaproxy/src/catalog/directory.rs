//! Directory of upstreams, built from their records in the store.

use super::constants::{LAPSE_GRACE, REMOVED_MAX};
use super::events;
use super::revision::Revision;
use crate::base::name::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// State that an upstream reports in its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UpstreamState {
    /// Accepts new requests.
    Ready,
    /// Completes its requests in progress and leaves.
    Draining,
}

/// An upstream's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamRecord {
    pub(crate) service: Name,
    /// Address for requests.
    pub(crate) address: SocketAddr,
    /// Availability zone.
    pub(crate) zone: Name,
    /// Most requests that run at a time; at least 1.
    pub(crate) slots: u32,
    pub(crate) state: UpstreamState,
    /// Time for which the upstream was still cold when the record was written; zero if it was warm.
    pub(crate) cold: Duration,
    /// Unix time of the start in milliseconds; distinguishes two runs under the same id.
    pub(crate) started_ms: u64,
}

/// A record with its position in the store.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// The record as last written.
    pub(crate) record: UpstreamRecord,
    /// The last change.
    pub(crate) revision: Revision,
    /// When the record was found missing during or after a store outage.
    lapsed_at: Option<Duration>,
    /// When a lapsed record is removed; `None` until the store has recovered.
    grace_end: Option<Duration>,
}

impl Row {
    /// Whether `record`, read in a later era, states that an upstream takes requests that has said
    /// before that it leaves. The store has come back from a copy then; the upstream writes again.
    fn has_left_before(&self, record: &UpstreamRecord, revision: Revision) -> bool {
        self.revision.era < revision.era
            && self.record.state == UpstreamState::Draining
            && record.state == UpstreamState::Ready
            && self.record.started_ms == record.started_ms
    }
}

/// An upstream's id, its record, and the revision of the last change.
pub(crate) type ListedUpstream = (Name, UpstreamRecord, Revision);

/// All upstreams by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    rows: IndexMap<Name, Row>,
    /// Revisions of removals reported by the store, by id; the latest removal is last.
    removed: IndexMap<Name, Revision>,
}

impl Directory {
    /// Upstreams that accept new requests.
    pub(crate) fn ready(&self) -> impl Iterator<Item = (&Name, &UpstreamRecord)> {
        let records = self.rows.iter().map(|(id, row)| (id, &row.record));
        records.filter(|(_, record)| record.state == UpstreamState::Ready)
    }

    /// Store revision of the last change of a record; none if there is no record.
    pub(crate) fn revision(&self, id: &str) -> Revision {
        self.rows.get(id).map(|row| row.revision).unwrap_or_default()
    }

    /// All records, to be sent to a peer.
    pub(crate) fn list(&self) -> Vec<ListedUpstream> {
        let rows = self.rows.iter();
        rows.map(|(id, r)| (id.clone(), r.record.clone(), r.revision)).collect()
    }

    /// Digest of all records, by which two directories are compared.
    pub(crate) fn digest(&self) -> u64 {
        let mut ids: Vec<&Name> = self.rows.keys().collect();
        ids.sort_unstable();
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for id in ids {
            let Row { record, revision, .. } = &self.rows[id];
            let text = format!(
                "{id} {} {} {} {} {:?} {};",
                record.service,
                record.address,
                record.zone,
                record.slots,
                record.state,
                record.started_ms
            );
            hasher.update(text.as_bytes());
            if !record.cold.is_zero() {
                // A replica that becomes cold once more may write the same record.
                let Revision { era, number } = revision;
                let text = format!("{} {era} {number};", record.cold.as_millis());
                hasher.update(text.as_bytes());
            }
        }
        hasher.digest()
    }

    /// Number of records, including those of draining upstreams.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Applies a record written at `revision`. Returns whether the directory has changed.
    pub(crate) fn put(&mut self, id: &Name, record: UpstreamRecord, revision: Revision) -> bool {
        let known = self.rows.get(id);
        if known.is_some_and(|r| r.revision > revision || r.has_left_before(&record, revision)) {
            return false;
        }
        let is_cold_anew = |r: &Row| !record.cold.is_zero() && r.revision < revision;
        let changed =
            known.is_none_or(|r| r.record != record || r.lapsed_at.is_some() || is_cold_anew(r));
        if changed {
            log_put(id, known, &record, revision);
        }
        self.rows.insert(id.clone(), Row { record, revision, lapsed_at: None, grace_end: None });
        changed
    }

    /// Applies the removal of a record. With `may_return`, the record may be missing only because
    /// of a store outage, and a ready upstream stays in use until [`Directory::expire`] removes it.
    /// Returns whether the directory has changed.
    pub(crate) fn remove(
        &mut self,
        id: &str,
        revision: Revision,
        may_return: bool,
        now: Duration,
    ) -> bool {
        let Some(row) = self.rows.get_mut(id).filter(|r| r.revision <= revision) else {
            return false;
        };
        if may_return && row.record.state == UpstreamState::Ready {
            if row.lapsed_at.is_none() {
                tracing::info!(
                    event = events::UPSTREAM_LAPSED,
                    upstream = id,
                    revision = revision.number,
                    "upstream record is missing"
                );
                row.lapsed_at = Some(now);
            }
            return false;
        }
        tracing::info!(
            event = events::UPSTREAM_LEAVING,
            upstream = id,
            reason = "entry removed",
            revision = revision.number,
            "upstream is leaving"
        );
        self.remember_removal(id, revision);
        self.rows.shift_remove(id).is_some()
    }

    /// Replaces the directory with a peer's list as of `revision`. Records whose removal is already
    /// known are left out, since the peer may not have seen the removal yet.
    pub(crate) fn replace_from_peer(
        &mut self,
        mut listed: Vec<ListedUpstream>,
        revision: Revision,
        now: Duration,
    ) -> bool {
        listed.retain(|(id, _, written)| {
            self.removed.get(id).is_none_or(|removed| removed < written)
        });
        self.replace(listed, revision, false, now)
    }

    fn remember_removal(&mut self, id: &str, revision: Revision) {
        self.removed.shift_remove(id);
        self.removed.insert(id.into(), revision);
        if self.removed.len() > REMOVED_MAX {
            self.removed.shift_remove_index(0);
        }
    }

    /// Replaces the directory with a complete listing read at `revision`; records that the listing
    /// lacks are removed as in [`Directory::remove`].
    pub(crate) fn replace(
        &mut self,
        listed: Vec<ListedUpstream>,
        revision: Revision,
        may_return: bool,
        now: Duration,
    ) -> bool {
        let missing = |id: &&Name| !listed.iter().any(|(other, ..)| other == *id);
        let removed: Vec<Name> = self.rows.keys().filter(missing).cloned().collect();
        let mut changed = false;
        for id in removed {
            changed |= self.remove(&id, revision, may_return, now);
        }
        for (id, record, written) in listed {
            changed |= self.put(&id, record, written);
        }
        changed
    }

    /// Removes lapsed records that have not come back within [`LAPSE_GRACE`] of the store's
    /// recovery at `recovered_at`. Returns whether any was removed.
    pub(crate) fn expire(&mut self, recovered_at: Option<Duration>, now: Duration) -> bool {
        // The grace period runs from the store's recovery, whenever a record was found missing: a
        // record that is still missing at its end belongs to an upstream that has left. A later
        // recovery does not begin it anew.
        let Some(recovered_at) = recovered_at else { return false };
        for row in self.rows.values_mut().filter(|row| row.lapsed_at.is_some()) {
            row.grace_end.get_or_insert(recovered_at + LAPSE_GRACE);
        }
        let is_over = |row: &Row| row.grace_end.is_some_and(|end| now >= end);
        let lapsed = self.rows.iter().filter(|(_, row)| is_over(row));
        let lapsed: Vec<(Name, Revision)> =
            lapsed.map(|(id, r)| (id.clone(), r.revision)).collect();
        for (id, revision) in &lapsed {
            tracing::info!(
                event = events::UPSTREAM_LEAVING,
                upstream = %id,
                reason = "entry did not come back",
                revision = revision.number,
                returned_ms = now.saturating_sub(recovered_at).as_millis() as u64,
                "upstream is leaving"
            );
            self.rows.shift_remove(id);
            self.remember_removal(id, *revision);
        }
        !lapsed.is_empty()
    }

    /// Takes out of the grace periods that run the time for which the store was away.
    pub(crate) fn resume_grace(&mut self, away_since: Duration, now: Duration) {
        let away = now.saturating_sub(away_since);
        for end in self.rows.values_mut().filter_map(|row| row.grace_end.as_mut()) {
            *end += if *end > away_since { away } else { Duration::ZERO };
        }
    }

    /// Whether any record is missing that may still come back.
    pub(crate) fn has_lapsed(&self) -> bool {
        self.rows.values().any(|r| r.lapsed_at.is_some())
    }
}

fn log_put(id: &Name, known: Option<&Row>, record: &UpstreamRecord, revision: Revision) {
    let previous = known.map(|r| r.record.state);
    match record.state {
        UpstreamState::Ready if previous != Some(UpstreamState::Ready) => tracing::info!(
            event = events::UPSTREAM_ADDED,
            upstream = %id,
            service = %record.service,
            zone = %record.zone,
            address = %record.address,
            revision = revision.number,
            "upstream added"
        ),
        UpstreamState::Draining if previous != Some(UpstreamState::Draining) => tracing::info!(
            event = events::UPSTREAM_LEAVING,
            upstream = %id,
            reason = "draining",
            revision = revision.number,
            "upstream is leaving"
        ),
        _ => {}
    }
}
