//! Selects the recipients and rows of heartbeats: grid peers, home entries, other zones, probes.

use super::codes;
use super::constants::{
    ENTRY_HINTS, FULL_EVERY_TICKS, HOME_ENTRIES, KNOWN_ENTRIES_MAX, PROBE_EVERY_TICKS, QUERY_PEERS,
    REMOTE_EVERY_TICKS, REPLY_DATAGRAMS_MAX, RETRY_INTERVALS, ROWS_BYTES_MAX, STARTUP_PROBES,
    STARTUP_TICKS, UNANSWERED_INTERVALS, ZONE_GATEWAYS,
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

/// Effects of one tick.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TickResult {
    /// Heartbeats to send.
    pub outgoing: Vec<Outgoing>,
    /// Changes of the known processes.
    pub changes: Vec<Change>,
}

impl Members {
    /// Starts a heartbeat interval: updates liveness and returns the heartbeats that are due.
    pub fn tick(
        &mut self,
        now: Duration,
        status: DocumentStatus,
        rng: &mut impl Rng,
    ) -> TickResult {
        let changes = self.update_liveness(now);
        self.ticks += 1;
        self.sequence += 1;
        let full = self.needs_full || self.ticks.is_multiple_of(FULL_EVERY_TICKS);
        self.needs_full = false;
        let sender = self.own_row(full);
        let mut outgoing = match self.local.role {
            ProcessRole::Entry => self.entry_heartbeats(&sender, status),
            ProcessRole::Agent => self.agent_heartbeats(now, &sender, status),
        };
        let probes = self.probe_addresses(rng);
        let own = self.own_row(true);
        outgoing
            .extend(probes.into_iter().map(|to| self.heartbeat_to(to, &own, Vec::new(), status)));
        for peer in self.peers.values_mut() {
            peer.has_update = false;
            peer.full_received = false;
        }
        self.check_fanout(&outgoing);
        TickResult { outgoing, changes }
    }

    /// Heartbeats that announce a new document without waiting for the next tick.
    pub fn announce(&mut self, status: DocumentStatus) -> Vec<Outgoing> {
        self.sequence += 1;
        let sender = self.own_row(false);
        let mut names: IndexSet<Name> = self.neighbours().into_iter().map(|n| n.0).collect();
        if self.local.role == ProcessRole::Agent {
            names.extend(self.home_entries(Duration::ZERO));
        }
        let is_direct = |p: &&Peer| is_live(p) && p.path == Path::Direct;
        names.extend(self.peers.values().filter(is_direct).map(|p| p.process.name.clone()));
        names.extend(self.gateway_peers().into_iter().map(|p| p.name));
        let known = names.iter().filter_map(|n| self.peers.get(n));
        known.map(|p| self.heartbeat_to(p.process.address, &sender, Vec::new(), status)).collect()
    }

    /// Heartbeats to a few live peers, whose replies carry their document versions.
    pub fn query_versions(&mut self, status: DocumentStatus) -> Vec<Outgoing> {
        self.sequence += 1;
        let sender = self.own_row(true);
        let live: Vec<&Name> =
            self.peers.values().filter(|p| is_live(p)).map(|p| &p.process.name).collect();
        let key = format!("inquire {}", self.sequence);
        let chosen = choose(live.into_iter(), &key, QUERY_PEERS);
        let known = chosen.into_iter().map(|n| self.peers[n].process.address);
        known.map(|to| self.heartbeat_to(to, &sender, Vec::new(), status)).collect()
    }

    /// Replies to a heartbeat.
    ///
    /// An agent gets entries to switch to, a new entry all live processes, an entry that probes an
    /// agent some entries; other full heartbeats get a reply without rows, the rest none.
    pub(super) fn replies_to(
        &self,
        sender: &Process,
        from: SocketAddr,
        is_new_run: bool,
        full: bool,
        status: DocumentStatus,
    ) -> Vec<Outgoing> {
        let own = self.own_row(is_new_run || full);
        let rows = match (self.local.role, sender.role) {
            (ProcessRole::Entry, ProcessRole::Agent) => self.entry_hints(&sender.name),
            (ProcessRole::Entry, ProcessRole::Entry) if is_new_run => self.live_states(),
            (ProcessRole::Agent, ProcessRole::Entry) if full => self.known_entries(&sender.name),
            _ if full => Vec::new(),
            _ => return Vec::new(),
        };
        let mut replies = self.heartbeats_to(from, &own, rows, status);
        replies.truncate(REPLY_DATAGRAMS_MAX);
        replies.iter_mut().for_each(|r| r.heartbeat.is_reply = true);
        replies
    }

    /// Grid peers of this entry and their relation to it; none for an agent.
    fn neighbours(&self) -> Vec<(Name, Relation)> {
        if self.local.role == ProcessRole::Agent {
            return Vec::new();
        }
        let grid = self.grid();
        grid.peers(&self.local.name).into_iter().map(|(n, r)| (n.clone(), r)).collect()
    }

    fn entry_heartbeats(&self, sender: &Row, status: DocumentStatus) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let neighbours = self.neighbours();
        let row: HashSet<&Name> =
            neighbours.iter().filter(|n| n.1 == Relation::Row).map(|n| &n.0).collect();
        for (name, relation) in &neighbours {
            let Some(peer) = self.peers.get(name) else { continue };
            let rows = self.grid_rows(name, *relation, &row);
            outgoing.extend(self.heartbeats_to(peer.process.address, sender, rows, status));
        }
        if self.ticks.is_multiple_of(REMOTE_EVERY_TICKS) {
            outgoing.extend(self.remote_heartbeats(status));
        }
        outgoing
    }

    /// Rows updated since the last tick that this entry forwards to a neighbour.
    fn grid_rows(&self, to: &Name, relation: Relation, row: &HashSet<&Name>) -> Vec<Row> {
        let is_forwarded = |p: &&Peer| {
            let name = &p.process.name;
            let is_first_hand = matches!(p.path, Path::Direct | Path::Remote);
            let is_neighbour = is_live_entry(p) && self.is_same_zone(p);
            let is_due = match relation {
                Relation::Row => is_first_hand && !is_neighbour,
                Relation::Column if is_neighbour => row.contains(name),
                Relation::Column => is_first_hand || p.path == Path::GridRow,
                Relation::None => false,
            };
            p.has_update && is_due && name != to
        };
        self.peers.values().filter(is_forwarded).map(|p| p.row(p.full_received)).collect()
    }

    /// Heartbeats with all live processes of the zone to the gateways of other zones.
    fn remote_heartbeats(&self, status: DocumentStatus) -> Vec<Outgoing> {
        let full = (self.ticks / REMOTE_EVERY_TICKS).is_multiple_of(FULL_EVERY_TICKS / 2);
        let is_local = |p: &&Peer| is_live(p) && self.is_same_zone(p);
        let rows: Vec<Row> = self.peers.values().filter(is_local).map(|p| p.row(full)).collect();
        let sender = self.own_row(true);
        let targets = self.gateway_peers();
        let heartbeats = targets
            .iter()
            .flat_map(|p| self.heartbeats_to(p.address, &sender, rows.clone(), status));
        heartbeats.collect()
    }

    /// Entries of other zones that receive the rows of this zone; none if this is no zone gateway.
    fn gateway_peers(&self) -> Vec<Process> {
        if self.local.role == ProcessRole::Agent {
            return Vec::new();
        }
        let zones: IndexSet<&Name> = self.peers.values().map(|p| &p.process.zone).collect();
        let others = zones.into_iter().filter(|z| **z != self.local.zone);
        others.filter_map(|zone| self.gateway_peer(zone)).collect()
    }

    fn gateway_peer(&self, zone: &Name) -> Option<Process> {
        let own = self.live_entries(&self.local.zone).chain(std::iter::once(&self.local.name));
        let chosen = choose(own, zone, ZONE_GATEWAYS);
        let rank = chosen.iter().position(|n| **n == self.local.name)?;
        let theirs = choose(self.live_entries(zone), &self.local.zone, ZONE_GATEWAYS);
        let name = theirs.get(rank).or(theirs.first())?;
        self.peers.get(*name).map(|p| p.process.clone())
    }

    fn agent_heartbeats(
        &mut self,
        now: Duration,
        sender: &Row,
        status: DocumentStatus,
    ) -> Vec<Outgoing> {
        let homes = self.home_entries(now);
        let mut outgoing = Vec::new();
        for name in homes {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            peer.unanswered_since.get_or_insert(now);
            let to = peer.process.address;
            outgoing.push(self.heartbeat_to(to, sender, Vec::new(), status));
        }
        outgoing
    }

    /// Live, responsive entries that this agent sends heartbeats to; from other zones only if its
    /// own has none.
    fn home_entries(&mut self, now: Duration) -> Vec<Name> {
        let interval = self.interval();
        for peer in self.peers.values_mut() {
            let may_retry = |since| now.saturating_sub(since) > interval * RETRY_INTERVALS;
            if peer.unanswered_since.is_some_and(may_retry) {
                peer.unanswered_since = None;
            }
        }
        let is_silent = |p: &Peer| {
            let is_overdue = |since| now.saturating_sub(since) > interval * UNANSWERED_INTERVALS;
            p.unanswered_since.is_some_and(is_overdue)
        };
        let is_usable = |p: &&Peer| is_live_entry(p) && !is_silent(p);
        let zone_entries = self.peers.values().filter(|p| is_usable(p) && self.is_same_zone(p));
        let chosen = choose(zone_entries.map(|p| &p.process.name), &self.local.name, HOME_ENTRIES);
        if !chosen.is_empty() {
            return chosen.into_iter().cloned().collect();
        }
        let any = self.peers.values().filter(is_usable).map(|p| &p.process.name);
        choose(any, &self.local.name, HOME_ENTRIES).into_iter().cloned().collect()
    }

    /// Addresses to probe, chosen among those without a known live process.
    fn probe_addresses(&self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let live: HashSet<SocketAddr> =
            self.peers.values().filter(|p| is_live(p)).map(|p| p.process.address).collect();
        let silent = self.peers.values().filter(|p| !is_live(p)).map(|p| p.process.address);
        let mut targets: IndexSet<SocketAddr> = silent.collect();
        let not_live = self.candidates.iter().filter(|c| !live.contains(&c.address));
        targets.extend(not_live.map(|c| c.address));
        let targets: Vec<SocketAddr> = targets.into_iter().collect();
        let mut chosen = Vec::new();
        let has_no_entry = !self.peers.values().any(is_live_entry);
        if has_no_entry || self.ticks <= STARTUP_TICKS {
            let zone_candidates =
                self.candidates.iter().filter(|c| c.zone.as_ref() == Some(&self.local.zone));
            let zone_addresses: Vec<SocketAddr> =
                zone_candidates.map(|c| c.address).filter(|a| !live.contains(a)).collect();
            chosen.extend(zone_addresses.sample(rng, STARTUP_PROBES - 1).copied());
            chosen.extend(targets.sample(rng, 1).copied());
        } else if self.ticks.is_multiple_of(PROBE_EVERY_TICKS) {
            chosen.extend(targets.sample(rng, 1).copied());
        }
        chosen
    }

    /// Live entries that an agent can switch to: its first home entry and some in rotation.
    fn entry_hints(&self, agent: &Name) -> Vec<Row> {
        let entries: Vec<&Name> = self.live_entries(&self.local.zone).collect();
        if entries.is_empty() {
            return Vec::new();
        }
        let homes = choose(entries.iter().copied(), agent, HOME_ENTRIES);
        let offset = self.ticks as usize;
        let others = (0..ENTRY_HINTS - 1).map(|i| entries[(offset + i) % entries.len()]);
        let names: IndexSet<&Name> = homes.into_iter().take(1).chain(others).collect();
        names.into_iter().map(|n| self.peers[n].row(true)).collect()
    }

    /// Live entries through which the entry `asking` discovers the others.
    fn known_entries(&self, asking: &Name) -> Vec<Row> {
        let live = self.live_entries(&self.local.zone).filter(|n| *n != asking);
        let chosen = choose(live, asking, KNOWN_ENTRIES_MAX);
        chosen.into_iter().map(|n| self.peers[n].row(true)).collect()
    }

    /// Full states of all live processes; entries first, because the grid depends on them.
    fn live_states(&self) -> Vec<Row> {
        let mut live: Vec<&Peer> = self.peers.values().filter(|p| is_live(p)).collect();
        live.sort_by_key(|p| !is_live_entry(p));
        live.into_iter().map(|p| p.row(true)).collect()
    }

    fn heartbeat_to(
        &self,
        to: SocketAddr,
        sender: &Row,
        rows: Vec<Row>,
        status: DocumentStatus,
    ) -> Outgoing {
        let (version, age) = (status.version, status.age);
        Outgoing {
            to,
            heartbeat: Heartbeat { sender: sender.clone(), version, age, is_reply: false, rows },
        }
    }

    /// Heartbeats to `to`; several if the rows exceed one datagram.
    fn heartbeats_to(
        &self,
        to: SocketAddr,
        sender: &Row,
        rows: Vec<Row>,
        status: DocumentStatus,
    ) -> Vec<Outgoing> {
        let mut parts = vec![Vec::new()];
        let mut room = ROWS_BYTES_MAX;
        for row in rows {
            let size = row.encoded_len();
            if size > room {
                parts.push(Vec::new());
                room = ROWS_BYTES_MAX;
            }
            room = room.saturating_sub(size);
            parts.last_mut().expect("parts is never empty").push(row);
        }
        parts.into_iter().map(|rows| self.heartbeat_to(to, sender, rows, status)).collect()
    }

    fn check_fanout(&self, outgoing: &[Outgoing]) {
        let peers: HashSet<SocketAddr> = outgoing.iter().map(|o| o.to).collect();
        let zones: HashSet<&Name> = self.peers.values().map(|p| &p.process.zone).collect();
        let most = self.grid().fanout_max() + zones.len() + STARTUP_PROBES + HOME_ENTRIES;
        let code = codes::FANOUT_EXCEEDED;
        assert!(peers.len() <= most, "{code}: {} peers, at most {most}", peers.len());
    }
}
