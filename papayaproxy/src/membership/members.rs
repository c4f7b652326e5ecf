//! Membership state machine, driven by heartbeats. Performs no I/O and reads no clock.

use super::codes;
use super::constants::{
    CANDIDATES_MAX, FORGET_AFTER, GRID_RETENTION, HEARTBEAT_INTERVAL, INTERVAL_ZONE_STEP,
    REMOTE_EVERY_TICKS,
};
use super::grid::{Grid, Relation, choose};
use super::peer::{Liveness, Path, Peer};
use super::report::{LoadReport, LoadedModel};
use super::row::{Heartbeat, Load, Process, ProcessRole, ProcessState, ProcessUpdate, Row};
use super::view::{UpstreamView, View};
use crate::base::name::{Incarnation, Name};
use crate::fleet::{Document, Version};
use indexmap::IndexMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The document in force on this process, as sent with each heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DocumentStatus {
    /// Version of the document; `None` before the first.
    pub version: Option<Version>,
    /// Seconds since the platform last confirmed it to any process.
    pub age: u32,
}

/// A heartbeat to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Destination.
    pub to: SocketAddr,
    /// Content.
    pub heartbeat: Heartbeat,
}

/// A change of the known processes, by a heartbeat or by the passing of time.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A process was discovered.
    Joined(Process),
    /// A later incarnation replaced an earlier one.
    Replaced(Process),
    /// The liveness of a process changed to the given value.
    LivenessChanged(Process, Liveness),
    /// State of an old incarnation was refused.
    Refused(Process),
    /// Another process with this one's name and a later incarnation is running.
    Superseded(Incarnation),
}

/// The document in force on a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Version of the document.
    pub version: Version,
    /// Seconds since the platform last confirmed it to any process.
    pub age: u32,
    /// Address of the peer.
    pub address: SocketAddr,
    /// Whether the peer is in this process' zone; false also if the peer is not known.
    pub same_zone: bool,
}

/// Effects of a received heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatResult {
    /// Replies to send.
    pub replies: Vec<Outgoing>,
    /// The sender's document; `None` if it has none.
    pub announcement: Option<Announcement>,
    /// Changes of the known processes.
    pub changes: Vec<Change>,
}

/// An address where a process may be running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// UDP address for heartbeats.
    pub address: SocketAddr,
    /// Availability zone; `None` if it is not known.
    pub zone: Option<Name>,
}

/// All processes known to this one.
pub struct Members {
    pub(super) local: Process,
    pub(super) load: Option<Load>,
    pub(super) loaded: Vec<LoadedModel>,
    /// Sequence number of the last heartbeat sent.
    pub(super) sequence: u32,
    pub(super) ticks: u64,
    /// Whether the next heartbeat must carry the full state.
    pub(super) needs_full: bool,
    pub(super) peers: IndexMap<Name, Peer>,
    /// Names of the processes by short id.
    id_names: HashMap<u64, Name>,
    pub(super) candidates: Vec<Candidate>,
    /// When a heartbeat last arrived directly from an entry.
    entry_heard: Duration,
    /// Time of the latest heartbeat or tick.
    now: Duration,
    /// Disables the incarnation check, to prove that the tests detect its absence.
    #[cfg(test)]
    pub(crate) unguarded: bool,
}

impl Members {
    /// Creates the state of the process `local`, without peers.
    pub fn new(local: Process, now: Duration) -> Self {
        Self {
            local,
            load: None,
            loaded: Vec::new(),
            sequence: 0,
            ticks: 0,
            needs_full: true,
            peers: IndexMap::new(),
            id_names: HashMap::new(),
            candidates: Vec::new(),
            entry_heard: now,
            now,
            #[cfg(test)]
            unguarded: false,
        }
    }

    /// Sets the addresses to probe; they are no evidence of liveness.
    pub fn set_candidates(&mut self, mut candidates: Vec<Candidate>) {
        candidates.retain(|c| c.address != self.local.address);
        candidates.truncate(CANDIDATES_MAX);
        self.candidates = candidates;
    }

    /// Sets the load report that heartbeats carry from the next one on.
    pub fn set_report(&mut self, report: LoadReport) {
        self.load = Some(Load::from_report(&report));
        if self.loaded != report.loaded {
            self.loaded = report.loaded;
            self.needs_full = true;
        }
    }

    /// Number of live agents.
    pub fn live_agents(&self) -> usize {
        let agents = self.peers.values().filter(|p| p.process.role == ProcessRole::Agent);
        agents.filter(|p| is_live(p)).count()
    }

    /// Heartbeat interval; it grows with the number of live peers in the zone.
    pub fn interval(&self) -> Duration {
        let zone_peers = self.peers.values().filter(|p| self.is_same_zone(p) && is_live(p)).count();
        HEARTBEAT_INTERVAL * (1 + zone_peers / INTERVAL_ZONE_STEP) as u32
    }

    /// Processes a heartbeat received from `from`.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        heartbeat: Heartbeat,
        status: DocumentStatus,
    ) -> HeartbeatResult {
        self.now = now;
        let mut result = HeartbeatResult::default();
        let full = matches!(heartbeat.sender, Row::Full(_));
        let mut sender = heartbeat.sender;
        if let Row::Full(state) = &mut sender
            && state.process.address.ip().is_unspecified()
        {
            state.process.address = from;
        }
        let known = self.merge_row(now, sender, Path::Direct, &mut result.changes);
        let is_new_run = !result.changes.is_empty();
        let same_zone =
            known.as_ref().and_then(|n| self.peers.get(n)).is_some_and(|p| self.is_same_zone(p));
        let path = self.forwarding_path(known.as_ref());
        for row in heartbeat.rows {
            self.merge_row(now, row, path, &mut result.changes);
        }
        result.announcement = heartbeat.version.map(|version| Announcement {
            version,
            age: heartbeat.age,
            address: from,
            same_zone,
        });
        let sender = known.as_ref().and_then(|n| self.peers.get(n)).map(|p| p.process.clone());
        if let Some(sender) = sender.filter(|_| !heartbeat.is_reply) {
            result.replies = self.replies_to(&sender, from, is_new_run, full, status);
        }
        result
    }

    /// Updates the liveness of every process and removes those dead for long.
    pub(super) fn update_liveness(&mut self, now: Duration) -> Vec<Change> {
        self.now = now;
        let interval = self.interval();
        let remote_interval = interval * REMOTE_EVERY_TICKS as u32;
        let local = &self.local;
        let mut changes = Vec::new();
        for peer in self.peers.values_mut() {
            // Agents learn of most entries only through the hints in replies, which are less frequent.
            let is_direct = peer.process.zone == local.zone && local.role == ProcessRole::Entry;
            if let Some(liveness) =
                peer.update_liveness(if is_direct { interval } else { remote_interval }, now)
            {
                changes.push(Change::LivenessChanged(peer.process.clone(), liveness));
            }
        }
        self.peers.retain(|_, p| {
            p.liveness != Liveness::Dead || now.saturating_sub(p.last_heard) < FORGET_AFTER
        });
        let peers = &self.peers;
        self.id_names.retain(|id, name| peers.get(name).is_some_and(|p| p.update.id == *id));
        changes
    }

    /// Merges a row and returns the name of its process.
    ///
    /// `None` if the row describes this process or an old run, or names a run that is not known.
    fn merge_row(
        &mut self,
        now: Duration,
        row: Row,
        path: Path,
        changes: &mut Vec<Change>,
    ) -> Option<Name> {
        let name = match &row {
            Row::Update(update) => self.id_names.get(&update.id)?.clone(),
            Row::Full(state) => state.process.name.clone(),
        };
        if name == self.local.name {
            if let Row::Full(state) = row
                && state.process.incarnation > self.local.incarnation
            {
                changes.push(Change::Superseded(state.process.incarnation));
            }
            return None;
        }
        match row {
            Row::Update(update) => {
                // A delayed update of an earlier run must not count for the current run.
                let peer = self.peers.get_mut(&name).filter(|p| p.update.id == update.id)?;
                peer.apply_update(update, path, now);
            }
            Row::Full(state) => {
                if !self.merge_state(now, *state, path, changes) {
                    return None;
                }
            }
        }
        self.record_contact(now, &name, path);
        Some(name)
    }

    fn record_contact(&mut self, now: Duration, name: &Name, path: Path) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if path == Path::Direct {
            peer.unanswered_since = None;
            if peer.process.role == ProcessRole::Entry {
                self.entry_heard = now;
            }
        }
    }

    /// Merges a full state. Returns false for that of an old incarnation, which is refused.
    fn merge_state(
        &mut self,
        now: Duration,
        state: ProcessState,
        path: Path,
        changes: &mut Vec<Change>,
    ) -> bool {
        let process = state.process.clone();
        let Some(peer) = self.peers.get_mut(&process.name) else {
            self.id_names.insert(state.update.id, process.name.clone());
            self.peers.insert(process.name.clone(), Peer::new(state, path, now));
            changes.push(Change::Joined(process));
            return true;
        };
        let known = peer.process.incarnation;
        if process.incarnation == known {
            if peer.apply_update(state.update, path, now) {
                peer.loaded = state.loaded;
                peer.full_received = true;
            }
            return true;
        }
        #[cfg(test)]
        let is_guarded = !self.unguarded;
        #[cfg(not(test))]
        let is_guarded = true;
        if process.incarnation < known && is_guarded {
            changes.push(Change::Refused(process));
            return false;
        }
        let code = codes::INCARNATION_LOWERED;
        assert!(
            process.incarnation > known || !is_guarded,
            "{code}: {} reverted to an earlier incarnation",
            process.name
        );
        self.id_names.insert(state.update.id, process.name.clone());
        *peer = Peer::new(state, path, now);
        changes.push(Change::Replaced(process));
        true
    }

    /// Path of the rows that the peer `sender` forwards.
    fn forwarding_path(&self, sender: Option<&Name>) -> Path {
        let Some(peer) = sender.and_then(|n| self.peers.get(n)) else { return Path::Other };
        if !self.is_same_zone(peer) {
            return Path::Remote;
        }
        match self.grid().relation(&self.local.name, &peer.process.name) {
            Relation::Row => Path::GridRow,
            _ => Path::Other,
        }
    }

    /// Grid of the zone's entries with recent heartbeats, including this process.
    pub(super) fn grid(&self) -> Grid {
        // Silent entries stay for a while, because each removal changes the positions of the others.
        let is_recent = |p: &Peer| self.now.saturating_sub(p.last_heard) < GRID_RETENTION;
        let is_entry = |p: &&Peer| p.process.role == ProcessRole::Entry && is_recent(p);
        let zone_entries = self.peers.values().filter(|p| is_entry(p) && self.is_same_zone(p));
        let mut names: Vec<Name> = zone_entries.map(|p| p.process.name.clone()).collect();
        if self.local.role == ProcessRole::Entry {
            names.push(self.local.name.clone());
        }
        Grid::new(names)
    }

    /// Names of the live entries of `zone`, excluding this process.
    pub(super) fn live_entries<'a>(&'a self, zone: &'a Name) -> impl Iterator<Item = &'a Name> {
        let is_match = |p: &&Peer| is_live_entry(p) && p.process.zone == *zone;
        self.peers.values().filter(move |p| is_match(p)).map(|p| &p.process.name)
    }

    pub(super) fn is_same_zone(&self, peer: &Peer) -> bool {
        peer.process.zone == self.local.zone
    }

    /// Whether this process should watch the platform.
    ///
    /// A few entries per zone do. An agent does only if its zone has no live entry and no entry has
    /// sent it a heartbeat for `AGENT_WATCH_DELAY`.
    pub fn is_watcher(&self, now: Duration) -> bool {
        let entries: Vec<&Name> = self.live_entries(&self.local.zone).collect();
        let own = std::iter::once(&self.local.name);
        if self.local.role == ProcessRole::Entry {
            let chosen =
                choose(entries.into_iter().chain(own), "watch", super::constants::ZONE_WATCHERS);
            return chosen.contains(&&self.local.name);
        }
        entries.is_empty()
            && now.saturating_sub(self.entry_heard) > super::constants::AGENT_WATCH_DELAY
    }

    /// Number of live peers in this process' zone.
    pub fn live_zone_peers(&self) -> usize {
        self.peers.values().filter(|p| self.is_same_zone(p) && is_live(p)).count()
    }

    /// Snapshot of the live processes and of the upstreams of `document`.
    pub fn view(&self, document: &Document) -> View {
        let known = |name: &Name| self.peers.get(name).map(upstream_view).unwrap_or_default();
        let upstreams = document.upstreams.keys().map(|n| (n.clone(), known(n))).collect();
        let own = u32::from(self.local.role == ProcessRole::Entry);
        let entries = self.peers.values().filter(|p| is_live_entry(p)).count() as u32 + own;
        let peers = self.peers.values().filter(|p| is_live(p)).count() as u64;
        View { upstreams, entries, peers }
    }

    /// Row of this process, with its full state if `full`.
    pub(super) fn own_row(&self, full: bool) -> Row {
        let update =
            ProcessUpdate { id: self.local.id(), sequence: self.sequence, load: self.load };
        if !full {
            return Row::Update(update);
        }
        let (process, loaded) = (self.local.clone(), self.loaded.clone());
        Row::Full(Box::new(ProcessState { process, update, loaded }))
    }
}

pub(super) fn is_live(peer: &Peer) -> bool {
    peer.liveness == Liveness::Live
}

pub(super) fn is_live_entry(peer: &Peer) -> bool {
    is_live(peer) && peer.process.role == ProcessRole::Entry
}

fn upstream_view(peer: &Peer) -> UpstreamView {
    UpstreamView {
        live: is_live(peer),
        incarnation: Some(peer.process.incarnation),
        report: peer.update.load.map(|l| l.report_with(&peer.loaded)),
        received: peer.last_report,
    }
}
