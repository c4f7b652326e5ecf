//! The core of the exchange: which entries are live and what they run. Without I/O or clock.

use super::constants::{
    BEAT_INTERVAL, BEAT_PEERS, NAMES_MAX, PEER_FORGET, PEER_SILENCE, ZONE_SILENCE,
};
use super::events;
use super::message::{Heartbeat, UpstreamLoad};
use crate::base::name::{Incarnation, Name};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What the peers run, by the digest of the upstream's id: requests, and prompt tokens unread.
pub(crate) type PeerLoads = IndexMap<u32, (u32, u32)>;

#[derive(Clone, Debug)]
struct Peer {
    zone: Name,
    heard: Duration,
    live: bool,
    incarnation: Incarnation,
    sequence: u64,
    version: u64,
    loads: Vec<UpstreamLoad>,
}

/// The other entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    seeds: Vec<SocketAddr>,
    peers: IndexMap<SocketAddr, Option<Peer>>,
    /// Addresses that were named since [`Table::take_learned`] was last called.
    learned: Vec<SocketAddr>,
    own: Option<SocketAddr>,
    /// Most entries that were live at a time, this one included.
    most: usize,
}

impl Table {
    /// A table that begins with `seeds`. `own` is never a peer.
    pub(crate) fn new(own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        let mut table = Self { own: Some(own), most: 1, ..Self::default() };
        table.set_seeds(seeds);
        table
    }

    /// Takes other seeds, after a change of the settings.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        for address in self.seeds.clone() {
            self.learn(address);
        }
    }

    /// Every address to send beats to.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Addresses of live peers that have `version` or a newer one, in an order turned by `turn`.
    pub(crate) fn live(&self, version: u64, turn: usize) -> Vec<SocketAddr> {
        let fits = |p: &Option<Peer>| p.as_ref().is_some_and(|p| p.live && p.version >= version);
        let mut live: Vec<_> =
            self.peers.iter().filter(|(_, p)| fits(p)).map(|(a, _)| *a).collect();
        if !live.is_empty() {
            let middle = turn % live.len();
            live.rotate_left(middle);
        }
        live
    }

    /// Some live peers, to be named in a beat.
    pub(crate) fn names(&self, turn: usize) -> Vec<SocketAddr> {
        let mut names = self.live(0, turn);
        names.truncate(NAMES_MAX);
        names
    }

    /// Live entries, this one included.
    pub(crate) fn entries(&self) -> usize {
        1 + self.peers.values().flatten().filter(|p| p.live).count()
    }

    /// Whether entries of other availability zones are known and none of them is heard of.
    pub(crate) fn is_cut_off(&self, zone: &str, now: Duration) -> bool {
        let mut others = self.peers.values().flatten().filter(|p| p.zone != zone).peekable();
        let silent = |p: &Peer| now.saturating_sub(p.heard) > ZONE_SILENCE;
        others.peek().is_some() && others.all(silent)
    }

    /// Most entries that were live at a time, this one included.
    pub(crate) fn most(&self) -> usize {
        self.most
    }

    /// A peer with a newer configuration than `version`.
    pub(crate) fn newer(&self, version: u64) -> Option<SocketAddr> {
        let newer = |p: &Option<Peer>| p.as_ref().is_some_and(|p| p.live && p.version > version);
        self.peers.iter().find(|(_, p)| newer(p)).map(|(a, _)| *a)
    }

    /// Pause between two beats.
    pub(crate) fn interval(&self) -> Duration {
        let factor = self.peers.len().div_ceil(BEAT_PEERS).max(1);
        BEAT_INTERVAL * u32::try_from(factor).unwrap_or(1)
    }

    /// Takes a beat. `true` if what the peers run may have changed.
    pub(crate) fn heard(&mut self, from: SocketAddr, beat: Heartbeat, now: Duration) -> bool {
        if Some(from) == self.own {
            return false;
        }
        for name in &beat.names {
            self.learn(*name);
        }
        let slot = self.peers.entry(from).or_default();
        let old = slot
            .as_ref()
            .is_some_and(|p| p.incarnation == beat.incarnation && p.sequence >= beat.sequence);
        if old {
            return false;
        }
        let was_live = slot.as_ref().is_some_and(|p| p.live);
        *slot = Some(Peer {
            zone: beat.zone,
            heard: now,
            live: true,
            incarnation: beat.incarnation,
            sequence: beat.sequence,
            version: beat.version,
            loads: beat.loads,
        });
        let zone = slot.as_ref().map(|p| p.zone.clone()).unwrap_or_default();
        self.most = self.most.max(self.entries());
        if !was_live {
            let live = self.entries();
            tracing::info!(event = events::PEER_HEARD, peer = %from, %zone, live, "peer heard");
        }
        true
    }

    /// Judges silence. `true` if a peer's load no longer counts.
    pub(crate) fn advance(&mut self, now: Duration) -> bool {
        let mut lost = Vec::new();
        for (address, slot) in &mut self.peers {
            let Some(peer) = slot.as_mut().filter(|p| p.live) else { continue };
            if now.saturating_sub(peer.heard) > PEER_SILENCE {
                peer.live = false;
                peer.loads.clear();
                lost.push(*address);
            }
        }
        let seeds = &self.seeds;
        self.peers.retain(|address, slot| {
            let stale = |p: &Peer| now.saturating_sub(p.heard) > PEER_FORGET;
            seeds.contains(address) || !slot.as_ref().is_some_and(stale)
        });
        for peer in &lost {
            tracing::warn!(event = events::PEER_SILENT, %peer, live = self.entries(), "peer silent");
        }
        !lost.is_empty()
    }

    /// What the live peers run, by the digest of the upstream's id.
    pub(crate) fn running(&self) -> PeerLoads {
        let mut sum = PeerLoads::new();
        for told in self.peers.values().flatten().flat_map(|p| &p.loads) {
            let (running, tokens) = sum.entry(told.upstream).or_default();
            *running += u32::from(told.running);
            *tokens += told.tokens;
        }
        sum
    }

    /// When the live peers told their load, on average; `None` without live peers.
    pub(crate) fn told(&self) -> Option<Duration> {
        let live = self.peers.values().flatten().filter(|p| p.live).map(|p| p.heard);
        let (sum, count) = live.fold((Duration::ZERO, 0), |(sum, n), heard| (sum + heard, n + 1));
        sum.checked_div(count)
    }

    fn learn(&mut self, address: SocketAddr) {
        if Some(address) != self.own && !self.peers.contains_key(&address) {
            self.peers.insert(address, None);
            self.learned.push(address);
        }
    }

    /// Peers that have become known by name, to which nothing was sent yet.
    pub(crate) fn take_learned(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.learned)
    }

    /// Whether the peer at `address` is heard of.
    pub(crate) fn is_live(&self, address: SocketAddr) -> bool {
        self.peers.get(&address).and_then(Option::as_ref).is_some_and(|p| p.live)
    }
}
