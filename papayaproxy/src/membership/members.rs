//! The membership core: who runs, as told by beats. Without I/O, clock or randomness of its own.

use super::codes;
use super::constants::{
    BEAT_INTERVAL, CANDIDATES_MAX, FORGET_AFTER, GRID_KEEP, REMOTE_EVERY, ZONE_SMALL,
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

/// What this process has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DocumentStatus {
    /// Its document.
    pub version: Option<Version>,
    /// Seconds since the platform last confirmed it to anyone.
    pub age: u32,
}

/// A beat to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// The beat.
    pub heartbeat: Heartbeat,
}

/// What a beat or the passing of time has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A process is heard of for the first time.
    Joined(Process),
    /// A later incarnation has replaced an earlier one.
    Replaced(Process),
    /// A process is held to be live, suspected or dead from now on.
    Judged(Process, Liveness),
    /// A beat of an old incarnation was refused.
    Refused(Process),
    /// Another process runs under this one's name with a later incarnation.
    Superseded(Incarnation),
}

/// A document that a peer has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Its version.
    pub version: Version,
    /// Seconds since the platform confirmed it.
    pub age: u32,
    /// The peer's address.
    pub address: SocketAddr,
    /// Whether the peer is of this process' zone.
    pub near: bool,
}

/// What a received beat has led to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatResult {
    /// Answers to be sent.
    pub replies: Vec<Outgoing>,
    /// The sender's document.
    pub announced: Option<Announcement>,
    /// What has changed.
    pub changes: Vec<Change>,
}

/// An address at which a process may be found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The address.
    pub address: SocketAddr,
    /// The zone, where it is known.
    pub zone: Option<Name>,
}

/// Every process that this one knows of.
pub struct Members {
    pub(super) me: Process,
    pub(super) load: Option<Load>,
    pub(super) loaded: Vec<LoadedModel>,
    pub(super) beat: u32,
    pub(super) ticks: u64,
    pub(super) portray: bool,
    pub(super) peers: IndexMap<Name, Peer>,
    ids: HashMap<u64, Name>,
    pub(super) candidates: Vec<Candidate>,
    entry_heard: Duration,
    /// Time of the present beat.
    now: Duration,
    #[cfg(test)]
    pub(crate) unguarded: bool,
}

impl Members {
    /// Starts to take part as `me`.
    pub fn new(me: Process, now: Duration) -> Self {
        Self {
            me,
            load: None,
            loaded: Vec::new(),
            beat: 0,
            ticks: 0,
            portray: true,
            peers: IndexMap::new(),
            ids: HashMap::new(),
            candidates: Vec::new(),
            entry_heard: now,
            now,
            #[cfg(test)]
            unguarded: false,
        }
    }

    /// Sets the addresses at which processes may be found. They say nothing about liveness.
    pub fn set_candidates(&mut self, mut candidates: Vec<Candidate>) {
        candidates.retain(|c| c.address != self.me.address);
        candidates.truncate(CANDIDATES_MAX);
        self.candidates = candidates;
    }

    /// Sets this agent's load report, which the next beat carries.
    pub fn set_report(&mut self, report: LoadReport) {
        self.load = Some(Load::of(&report));
        if self.loaded != report.loaded {
            self.loaded = report.loaded;
            self.portray = true;
        }
    }

    /// Agents that are held to be live.
    pub fn live_agents(&self) -> usize {
        let agents = self.peers.values().filter(|p| p.process.role == ProcessRole::Agent);
        agents.filter(|p| is_live(p)).count()
    }

    /// Interval of this process' beats; it grows with its zone.
    pub fn interval(&self) -> Duration {
        let near = self.peers.values().filter(|p| self.is_near(p) && is_live(p)).count();
        BEAT_INTERVAL * (1 + near / ZONE_SMALL) as u32
    }

    /// Takes a beat in that came from `from`.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        beat: Heartbeat,
        standing: DocumentStatus,
    ) -> HeartbeatResult {
        self.now = now;
        let mut taken = HeartbeatResult::default();
        let full = matches!(beat.sender, Row::Full(_));
        let mut sender = beat.sender;
        if let Row::Full(portrait) = &mut sender
            && portrait.process.address.ip().is_unspecified()
        {
            portrait.process.address = from;
        }
        let known = self.learn(now, sender, Path::Direct, &mut taken.changes);
        let joined = !taken.changes.is_empty();
        let near = known.as_ref().and_then(|n| self.peers.get(n)).is_some_and(|p| self.is_near(p));
        let path = self.path_from(known.as_ref());
        for row in beat.rows {
            self.learn(now, row, path, &mut taken.changes);
        }
        taken.announced = beat.version.map(|version| Announcement {
            version,
            age: beat.age,
            address: from,
            near,
        });
        let sender = known.as_ref().and_then(|n| self.peers.get(n)).map(|p| p.process.clone());
        if let Some(sender) = sender.filter(|_| !beat.reply) {
            taken.replies = self.answers(&sender, from, joined, full, standing);
        }
        taken
    }

    /// Judges every process anew and forgets those long dead.
    pub(super) fn judge(&mut self, now: Duration) -> Vec<Change> {
        self.now = now;
        let near = self.interval();
        let far = near * REMOTE_EVERY as u32;
        let me = &self.me;
        let mut changes = Vec::new();
        for peer in self.peers.values_mut() {
            // An agent hears of most entries through hints only.
            let direct = peer.process.zone == me.zone && me.role == ProcessRole::Entry;
            if let Some(liveness) = peer.judge(if direct { near } else { far }, now) {
                changes.push(Change::Judged(peer.process.clone(), liveness));
            }
        }
        self.peers.retain(|_, p| {
            p.liveness != Liveness::Dead || now.saturating_sub(p.heard) < FORGET_AFTER
        });
        let peers = &self.peers;
        self.ids.retain(|id, name| peers.get(name).is_some_and(|p| p.pulse.id == *id));
        changes
    }

    /// Takes one row in and gives the name of the process that it describes.
    fn learn(
        &mut self,
        now: Duration,
        row: Row,
        path: Path,
        changes: &mut Vec<Change>,
    ) -> Option<Name> {
        let name = match &row {
            Row::Update(pulse) => self.ids.get(&pulse.id)?.clone(),
            Row::Full(portrait) => portrait.process.name.clone(),
        };
        if name == self.me.name {
            if let Row::Full(portrait) = row
                && portrait.process.incarnation > self.me.incarnation
            {
                changes.push(Change::Superseded(portrait.process.incarnation));
            }
            return None;
        }
        match row {
            Row::Update(pulse) => {
                // A late pulse of the run before must not count as one of this run.
                let peer = self.peers.get_mut(&name).filter(|p| p.pulse.id == pulse.id)?;
                peer.take(pulse, path, now);
            }
            Row::Full(portrait) => {
                if !self.learn_portrait(now, *portrait, path, changes) {
                    return None;
                }
            }
        }
        self.note_path(now, &name, path);
        Some(name)
    }

    fn note_path(&mut self, now: Duration, name: &Name, path: Path) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if path == Path::Direct {
            peer.unanswered = None;
            if peer.process.role == ProcessRole::Entry {
                self.entry_heard = now;
            }
        }
    }

    /// Takes a whole description in; false for that of an old incarnation.
    fn learn_portrait(
        &mut self,
        now: Duration,
        portrait: ProcessState,
        path: Path,
        changes: &mut Vec<Change>,
    ) -> bool {
        let process = portrait.process.clone();
        let Some(peer) = self.peers.get_mut(&process.name) else {
            self.ids.insert(portrait.pulse.id, process.name.clone());
            self.peers.insert(process.name.clone(), Peer::new(portrait, path, now));
            changes.push(Change::Joined(process));
            return true;
        };
        let known = peer.process.incarnation;
        if process.incarnation == known {
            if peer.take(portrait.pulse, path, now) {
                peer.loaded = portrait.loaded;
                peer.portrayed = true;
            }
            return true;
        }
        #[cfg(test)]
        let guarded = !self.unguarded;
        #[cfg(not(test))]
        let guarded = true;
        if process.incarnation < known && guarded {
            changes.push(Change::Refused(process));
            return false;
        }
        let code = codes::INCARNATION_LOWERED;
        assert!(process.incarnation > known || !guarded, "{code}: {} went back", process.name);
        self.ids.insert(portrait.pulse.id, process.name.clone());
        *peer = Peer::new(portrait, path, now);
        changes.push(Change::Replaced(process));
        true
    }

    /// The way by which rows come that the peer `sender` passes on.
    fn path_from(&self, sender: Option<&Name>) -> Path {
        let Some(peer) = sender.and_then(|n| self.peers.get(n)) else { return Path::Other };
        if !self.is_near(peer) {
            return Path::Remote;
        }
        match self.grid().relation(&self.me.name, &peer.process.name) {
            Relation::Row => Path::GridRow,
            _ => Path::Other,
        }
    }

    /// The grid of the zone's entries that were heard of lately, this one included.
    pub(super) fn grid(&self) -> Grid {
        // The silent stay in the grid for a while: who leaves it moves the place of all others.
        let heard = |p: &Peer| self.now.saturating_sub(p.heard) < GRID_KEEP;
        let entry = |p: &&Peer| p.process.role == ProcessRole::Entry && heard(p);
        let near = self.peers.values().filter(|p| entry(p) && self.is_near(p));
        let mut names: Vec<Name> = near.map(|p| p.process.name.clone()).collect();
        if self.me.role == ProcessRole::Entry {
            names.push(self.me.name.clone());
        }
        Grid::new(names)
    }

    /// Live entries of a zone, without this one.
    pub(super) fn live_entries<'a>(&'a self, zone: &'a Name) -> impl Iterator<Item = &'a Name> {
        let fits = |p: &&Peer| is_live_entry(p) && p.process.zone == *zone;
        self.peers.values().filter(move |p| fits(p)).map(|p| &p.process.name)
    }

    pub(super) fn is_near(&self, peer: &Peer) -> bool {
        peer.process.zone == self.me.zone
    }

    /// Whether this process is one of the few of its zone that watch the platform.
    ///
    /// Entries do; agents only where no entry was heard of for a while.
    pub fn is_watcher(&self, now: Duration) -> bool {
        let entries: Vec<&Name> = self.live_entries(&self.me.zone).collect();
        let mine = std::iter::once(&self.me.name);
        if self.me.role == ProcessRole::Entry {
            let chosen =
                choose(entries.into_iter().chain(mine), "watch", super::constants::WATCHERS);
            return chosen.contains(&&self.me.name);
        }
        entries.is_empty()
            && now.saturating_sub(self.entry_heard) > super::constants::ENTRYLESS_AFTER
    }

    /// Live processes of this one's zone that it has heard of.
    pub fn near_live(&self) -> usize {
        self.peers.values().filter(|p| self.is_near(p) && is_live(p)).count()
    }

    /// The live view of the upstreams of `document`.
    pub fn view(&self, document: &Document) -> View {
        let known = |name: &Name| self.peers.get(name).map(upstream_view).unwrap_or_default();
        let upstreams = document.upstreams.keys().map(|n| (n.clone(), known(n))).collect();
        let own = u32::from(self.me.role == ProcessRole::Entry);
        let entries = self.peers.values().filter(|p| is_live_entry(p)).count() as u32 + own;
        let peers = self.peers.values().filter(|p| is_live(p)).count() as u64;
        View { upstreams, entries, peers }
    }

    /// This process' own row.
    pub(super) fn own_row(&self, full: bool) -> Row {
        let pulse = ProcessUpdate { id: self.me.id(), beat: self.beat, load: self.load };
        if !full {
            return Row::Update(pulse);
        }
        let (process, loaded) = (self.me.clone(), self.loaded.clone());
        Row::Full(Box::new(ProcessState { process, pulse, loaded }))
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
        report: peer.pulse.load.map(|l| l.report(&peer.loaded)),
        received: peer.reported,
    }
}
