//! Which beats a process sends: to the grid, to homes, to other zones, to addresses not yet heard.

use super::codes;
use super::constants::{
    FULL_EVERY, GATEWAYS, HINTS, HOMES, INQUIRIES, KNOWN_ENTRIES, PROBE_EVERY, PROBES_AT_START,
    REMOTE_EVERY, RETRY_BEATS, ROWS_BYTES_MAX, START_BEATS, UNANSWERED_BEATS, WELCOME_DATAGRAMS,
};
use super::grid::{Relation, choose};
use super::members::{Change, DocumentStatus, Members, Outgoing, is_live, is_live_entry};
use super::peer::{Path, Peer};
use super::row::{Heartbeat, Process, ProcessRole, Row};
use crate::base::name::Name;
use indexmap::IndexSet;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// What one beat interval has led to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TickResult {
    /// Beats to be sent.
    pub outgoing: Vec<Outgoing>,
    /// What has changed.
    pub changes: Vec<Change>,
}

impl Members {
    /// Passes one beat interval: judges liveness and makes the beats that are due.
    pub fn tick(
        &mut self,
        now: Duration,
        standing: DocumentStatus,
        rng: &mut impl Rng,
    ) -> TickResult {
        let changes = self.judge(now);
        self.ticks += 1;
        self.beat += 1;
        let full = self.portray || self.ticks.is_multiple_of(FULL_EVERY);
        self.portray = false;
        let sender = self.own_row(full);
        let mut outgoing = match self.me.role {
            ProcessRole::Entry => self.entry_beats(&sender, standing),
            ProcessRole::Agent => self.agent_beats(now, &sender, standing),
        };
        let probes = self.probes(rng);
        let own = self.own_row(true);
        outgoing.extend(probes.into_iter().map(|to| self.beat_to(to, &own, Vec::new(), standing)));
        for peer in self.peers.values_mut() {
            peer.fresh = false;
            peer.portrayed = false;
        }
        self.check_fanout(&outgoing);
        TickResult { outgoing, changes }
    }

    /// Makes the beats that tell of a new document at once.
    pub fn announce(&mut self, standing: DocumentStatus) -> Vec<Outgoing> {
        self.beat += 1;
        let sender = self.own_row(false);
        let mut names: IndexSet<Name> = self.neighbours().into_iter().map(|n| n.0).collect();
        if self.me.role == ProcessRole::Agent {
            names.extend(self.homes(Duration::ZERO));
        }
        let direct = |p: &&Peer| is_live(p) && p.path == Path::Direct;
        names.extend(self.peers.values().filter(direct).map(|p| p.process.name.clone()));
        names.extend(self.gateway_peers().into_iter().map(|p| p.name));
        let known = names.iter().filter_map(|n| self.peers.get(n));
        known.map(|p| self.beat_to(p.process.address, &sender, Vec::new(), standing)).collect()
    }

    /// Makes full beats to a few live peers, whose answers tell their documents.
    pub fn inquire(&mut self, standing: DocumentStatus) -> Vec<Outgoing> {
        self.beat += 1;
        let sender = self.own_row(true);
        let live: Vec<&Name> =
            self.peers.values().filter(|p| is_live(p)).map(|p| &p.process.name).collect();
        let key = format!("inquire {}", self.beat);
        let chosen = choose(live.into_iter(), &key, INQUIRIES);
        let known = chosen.into_iter().map(|n| self.peers[n].process.address);
        known.map(|to| self.beat_to(to, &sender, Vec::new(), standing)).collect()
    }

    /// Answers a beat: hints for an agent, the whole zone for a new entry, else a sign of life.
    pub(super) fn answers(
        &self,
        sender: &Process,
        from: SocketAddr,
        joined: bool,
        full: bool,
        standing: DocumentStatus,
    ) -> Vec<Outgoing> {
        let own = self.own_row(joined || full);
        let rows = match (self.me.role, sender.role) {
            (ProcessRole::Entry, ProcessRole::Agent) => self.hints(&sender.name),
            (ProcessRole::Entry, ProcessRole::Entry) if joined => self.portraits(),
            (ProcessRole::Agent, ProcessRole::Entry) if full => self.known_entries(&sender.name),
            _ if full => Vec::new(),
            _ => return Vec::new(),
        };
        let mut answers = self.beats_to(from, &own, rows, standing);
        answers.truncate(WELCOME_DATAGRAMS);
        answers.iter_mut().for_each(|a| a.heartbeat.reply = true);
        answers
    }

    /// Peers in the grid and how they stand to this entry.
    fn neighbours(&self) -> Vec<(Name, Relation)> {
        if self.me.role == ProcessRole::Agent {
            return Vec::new();
        }
        let grid = self.grid();
        grid.peers(&self.me.name).into_iter().map(|(n, r)| (n.clone(), r)).collect()
    }

    fn entry_beats(&self, sender: &Row, standing: DocumentStatus) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let neighbours = self.neighbours();
        let row: HashSet<&Name> =
            neighbours.iter().filter(|n| n.1 == Relation::Row).map(|n| &n.0).collect();
        for (name, relation) in &neighbours {
            let Some(peer) = self.peers.get(name) else { continue };
            let rows = self.grid_rows(name, *relation, &row);
            outgoing.extend(self.beats_to(peer.process.address, sender, rows, standing));
        }
        if self.ticks.is_multiple_of(REMOTE_EVERY) {
            outgoing.extend(self.remote_beats(standing));
        }
        outgoing
    }

    /// What has changed since the last beat, as far as a neighbour hears it through this entry.
    fn grid_rows(&self, to: &Name, relation: Relation, row: &HashSet<&Name>) -> Vec<Row> {
        let passes = |p: &&Peer| {
            let name = &p.process.name;
            let first = matches!(p.path, Path::Direct | Path::Remote);
            let neighbour = is_live_entry(p) && self.is_near(p);
            let due = match relation {
                Relation::Row => first && !neighbour,
                Relation::Column if neighbour => row.contains(name),
                Relation::Column => first || p.path == Path::GridRow,
                Relation::None => false,
            };
            p.fresh && due && name != to
        };
        self.peers.values().filter(passes).map(|p| p.row(p.portrayed)).collect()
    }

    /// Every live process of the zone, for the gateways of the other zones.
    fn remote_beats(&self, standing: DocumentStatus) -> Vec<Outgoing> {
        let full = (self.ticks / REMOTE_EVERY).is_multiple_of(FULL_EVERY / 2);
        let near = |p: &&Peer| is_live(p) && self.is_near(p);
        let rows: Vec<Row> = self.peers.values().filter(near).map(|p| p.row(full)).collect();
        let sender = self.own_row(true);
        let targets = self.gateway_peers();
        let beats =
            targets.iter().flat_map(|p| self.beats_to(p.address, &sender, rows.clone(), standing));
        beats.collect()
    }

    /// The entries of other zones to which this one passes what its zone knows.
    fn gateway_peers(&self) -> Vec<Process> {
        if self.me.role == ProcessRole::Agent {
            return Vec::new();
        }
        let zones: IndexSet<&Name> = self.peers.values().map(|p| &p.process.zone).collect();
        let others = zones.into_iter().filter(|z| **z != self.me.zone);
        others.filter_map(|zone| self.gateway_peer(zone)).collect()
    }

    fn gateway_peer(&self, zone: &Name) -> Option<Process> {
        let own = self.live_entries(&self.me.zone).chain(std::iter::once(&self.me.name));
        let chosen = choose(own, zone, GATEWAYS);
        let place = chosen.iter().position(|n| **n == self.me.name)?;
        let theirs = choose(self.live_entries(zone), &self.me.zone, GATEWAYS);
        let name = theirs.get(place).or(theirs.first())?;
        self.peers.get(*name).map(|p| p.process.clone())
    }

    fn agent_beats(
        &mut self,
        now: Duration,
        sender: &Row,
        standing: DocumentStatus,
    ) -> Vec<Outgoing> {
        let homes = self.homes(now);
        let mut outgoing = Vec::new();
        for name in homes {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            peer.unanswered.get_or_insert(now);
            let to = peer.process.address;
            outgoing.push(self.beat_to(to, sender, Vec::new(), standing));
        }
        outgoing
    }

    /// The entries that this agent tells of itself, of its own zone if one is live there.
    fn homes(&mut self, now: Duration) -> Vec<Name> {
        let interval = self.interval();
        for peer in self.peers.values_mut() {
            let retry = |since| now.saturating_sub(since) > interval * RETRY_BEATS;
            if peer.unanswered.is_some_and(retry) {
                peer.unanswered = None;
            }
        }
        let silent = |p: &Peer| {
            let long = |since| now.saturating_sub(since) > interval * UNANSWERED_BEATS;
            p.unanswered.is_some_and(long)
        };
        let usable = |p: &&Peer| is_live_entry(p) && !silent(p);
        let near = self.peers.values().filter(|p| usable(p) && self.is_near(p));
        let chosen = choose(near.map(|p| &p.process.name), &self.me.name, HOMES);
        if !chosen.is_empty() {
            return chosen.into_iter().cloned().collect();
        }
        let any = self.peers.values().filter(usable).map(|p| &p.process.name);
        choose(any, &self.me.name, HOMES).into_iter().cloned().collect()
    }

    /// Addresses that are probed because no live process is known there.
    fn probes(&self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let live: HashSet<SocketAddr> =
            self.peers.values().filter(|p| is_live(p)).map(|p| p.process.address).collect();
        let silent = self.peers.values().filter(|p| !is_live(p)).map(|p| p.process.address);
        let mut open: IndexSet<SocketAddr> = silent.collect();
        let unheard = self.candidates.iter().filter(|c| !live.contains(&c.address));
        open.extend(unheard.map(|c| c.address));
        let open: Vec<SocketAddr> = open.into_iter().collect();
        let mut chosen = Vec::new();
        let alone = !self.peers.values().any(is_live_entry);
        if alone || self.ticks <= START_BEATS {
            let near = self.candidates.iter().filter(|c| c.zone.as_ref() == Some(&self.me.zone));
            let near: Vec<SocketAddr> =
                near.map(|c| c.address).filter(|a| !live.contains(a)).collect();
            chosen.extend(near.sample(rng, PROBES_AT_START - 1).copied());
            chosen.extend(open.sample(rng, 1).copied());
        } else if self.ticks.is_multiple_of(PROBE_EVERY) {
            chosen.extend(open.sample(rng, 1).copied());
        }
        chosen
    }

    /// Some live entries of the agent's likely homes, so that it can turn to another.
    fn hints(&self, agent: &Name) -> Vec<Row> {
        let entries: Vec<&Name> = self.live_entries(&self.me.zone).collect();
        if entries.is_empty() {
            return Vec::new();
        }
        let homes = choose(entries.iter().copied(), agent, HOMES);
        let turn = self.ticks as usize;
        let others = (0..HINTS - 1).map(|i| entries[(turn + i) % entries.len()]);
        let names: IndexSet<&Name> = homes.into_iter().take(1).chain(others).collect();
        names.into_iter().map(|n| self.peers[n].row(true)).collect()
    }

    /// Some live entries, by which an entry that knows none finds the others.
    fn known_entries(&self, asking: &Name) -> Vec<Row> {
        let live = self.live_entries(&self.me.zone).filter(|n| *n != asking);
        let chosen = choose(live, asking, KNOWN_ENTRIES);
        chosen.into_iter().map(|n| self.peers[n].row(true)).collect()
    }

    /// Every live process, entries first, since the grid needs them.
    fn portraits(&self) -> Vec<Row> {
        let mut live: Vec<&Peer> = self.peers.values().filter(|p| is_live(p)).collect();
        live.sort_by_key(|p| !is_live_entry(p));
        live.into_iter().map(|p| p.row(true)).collect()
    }

    fn beat_to(
        &self,
        to: SocketAddr,
        sender: &Row,
        rows: Vec<Row>,
        standing: DocumentStatus,
    ) -> Outgoing {
        let (version, age) = (standing.version, standing.age);
        Outgoing {
            to,
            heartbeat: Heartbeat { sender: sender.clone(), version, age, reply: false, rows },
        }
    }

    /// One beat, or several where the rows do not fit one datagram.
    fn beats_to(
        &self,
        to: SocketAddr,
        sender: &Row,
        rows: Vec<Row>,
        standing: DocumentStatus,
    ) -> Vec<Outgoing> {
        let mut parts = vec![Vec::new()];
        let mut room = ROWS_BYTES_MAX;
        for row in rows {
            let size = row.size();
            if size > room {
                parts.push(Vec::new());
                room = ROWS_BYTES_MAX;
            }
            room = room.saturating_sub(size);
            parts.last_mut().expect("one part is always there").push(row);
        }
        parts.into_iter().map(|rows| self.beat_to(to, sender, rows, standing)).collect()
    }

    fn check_fanout(&self, outgoing: &[Outgoing]) {
        let peers: HashSet<SocketAddr> = outgoing.iter().map(|o| o.to).collect();
        let zones: HashSet<&Name> = self.peers.values().map(|p| &p.process.zone).collect();
        let most = self.grid().fanout_max() + zones.len() + PROBES_AT_START + HOMES;
        let code = codes::FANOUT_EXCEEDED;
        assert!(peers.len() <= most, "{code}: {} peers, at most {most}", peers.len());
    }
}
