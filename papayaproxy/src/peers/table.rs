//! The table of peers: which entries are live and what load they report. Uses no I/O and no clock.

use super::constants::{
    HEARTBEAT_INTERVAL, HEARTBEAT_PEERS, KNOWN_PEERS_MAX, PEER_RETENTION, PEER_TIMEOUT, RATE_UNITS,
    READERS_MIN, RELY_ENTRIES_MIN, SETTLING_TIME_MAX, ZONE_TIMEOUT,
};
use super::events;
use super::message::{DemandRate, Heartbeat, UpstreamLoad, digest};
use crate::base::name::{Incarnation, Name};
use indexmap::IndexMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Load of all peers by the digest of the upstream's id: requests in progress, and the prompt
/// tokens of those whose response has not begun.
pub(crate) type PeerLoads = IndexMap<u32, (u32, u32)>;

/// Requests a second that the peers receive, by the digest of the service's name and by priority.
pub(crate) type PeerDemand = IndexMap<(u32, u8), f64>;

#[derive(Clone, Debug)]
struct Peer {
    zone: Name,
    heard_at: Duration,
    is_live: bool,
    incarnation: Incarnation,
    sequence: u64,
    version: u64,
    loads: Vec<UpstreamLoad>,
    demand: Vec<DemandRate>,
}

/// The other entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    seeds: Vec<SocketAddr>,
    /// `None` for an address from which no heartbeat has arrived yet.
    peers: IndexMap<SocketAddr, Option<Peer>>,
    /// Addresses added since the last call of [`Table::take_new_addresses`].
    new_addresses: Vec<SocketAddr>,
    own_address: Option<SocketAddr>,
    /// Most entries that were live at a time, this one included.
    max_entries: usize,
    /// The most that a peer saw; 0 before the first is told.
    told_entries: usize,
    /// Whether the size of the fleet is known well enough to share by it.
    is_settled: bool,
}

/// How many entries there are, as far as this one knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetSize {
    /// Most entries that were live at a time, this one included.
    pub(crate) most: usize,
    /// Entries to share by; `None` while an unknown part of the fleet may be out of reach.
    pub(crate) sharing: Option<usize>,
}

/// Ids of the entries: digests of their addresses, the same at all entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct EntryIds {
    /// Id of this entry.
    pub(crate) own: u64,
    /// Ids of the others that were heard, live or not.
    pub(crate) heard: Vec<u64>,
}

impl EntryIds {
    /// Id of the entry at `address`.
    pub(crate) fn id(address: SocketAddr) -> u64 {
        let mut bytes = [0; 18];
        let ip = match address.ip().to_canonical() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        bytes[..16].copy_from_slice(&ip.octets());
        bytes[16..].copy_from_slice(&address.port().to_be_bytes());
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

impl Table {
    /// A table with the peers `seeds`; `own_address` is never added as a peer.
    pub(crate) fn new(own_address: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        let mut table = Self { own_address: Some(own_address), max_entries: 1, ..Self::default() };
        table.set_seeds(seeds);
        table
    }

    /// Replaces the seeds, which stay in the table even while they are silent.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        for address in self.seeds.clone() {
            self.add_address(address);
        }
    }

    /// Addresses of all peers, live or not.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Addresses of live peers whose configuration has `version` or a newer one, in table order
    /// rotated by `offset`.
    pub(crate) fn live_peers(&self, version: u64, offset: usize) -> Vec<SocketAddr> {
        let matches =
            |p: &Option<Peer>| p.as_ref().is_some_and(|p| p.is_live && p.version >= version);
        let mut live: Vec<_> =
            self.peers.iter().filter(|(_, p)| matches(p)).map(|(a, _)| *a).collect();
        if !live.is_empty() {
            let middle = offset % live.len();
            live.rotate_left(middle);
        }
        live
    }

    /// Live peers to list in a message, at most [`KNOWN_PEERS_MAX`], starting at `offset`.
    pub(crate) fn known_peers(&self, offset: usize) -> Vec<SocketAddr> {
        let mut peers = self.live_peers(0, offset);
        peers.truncate(KNOWN_PEERS_MAX);
        peers
    }

    /// The readers of the store by availability zone: in each zone the live entries whose address
    /// has the lowest digests. `own_zone` is the zone of this entry. Empty in a small fleet, where
    /// each entry reads for itself.
    pub(crate) fn readers(&self, own_zone: &Name) -> IndexMap<Name, Vec<SocketAddr>> {
        if self.live_entries() < RELY_ENTRIES_MIN {
            return IndexMap::new();
        }
        let peers = self.peers.iter().filter_map(|(address, peer)| {
            peer.as_ref().filter(|p| p.is_live).map(|p| (p.zone.clone(), *address))
        });
        let own = self.own_address.map(|address| (own_zone.clone(), address));
        let mut zones: IndexMap<Name, Vec<SocketAddr>> = IndexMap::new();
        for (zone, address) in peers.chain(own) {
            zones.entry(zone).or_default().push(address);
        }
        let count = READERS_MIN.div_ceil(zones.len());
        for entries in zones.values_mut() {
            entries.sort_unstable_by_key(|a| (digest(&a.to_string()), *a));
            entries.truncate(count);
        }
        zones
    }

    /// Live peers in the availability zone `zone`.
    pub(crate) fn live_in_zone(&self, zone: &str) -> Vec<SocketAddr> {
        let is_in = |p: &Option<Peer>| p.as_ref().is_some_and(|p| p.is_live && p.zone == zone);
        self.peers.iter().filter(|(_, p)| is_in(p)).map(|(a, _)| *a).collect()
    }

    /// Number of live entries, this one included.
    pub(crate) fn live_entries(&self) -> usize {
        1 + self.peers.values().flatten().filter(|p| p.is_live).count()
    }

    /// Whether entries of other availability zones are known and none of them has sent a heartbeat
    /// within [`ZONE_TIMEOUT`].
    pub(crate) fn is_cut_off(&self, zone: &str, now: Duration) -> bool {
        let mut others = self.peers.values().flatten().filter(|p| p.zone != zone).peekable();
        let is_silent = |p: &Peer| now.saturating_sub(p.heard_at) > ZONE_TIMEOUT;
        others.peek().is_some() && others.all(is_silent)
    }

    /// Size of the fleet. `now` counts from the start of the process.
    ///
    /// A process that starts knows nobody, and maybe only a part of the fleet can be reached. It has
    /// seen enough once it has heard most of the seeds, which can't be so in two parts at a time, or
    /// a peer that has seen enough has told it what it saw. Seeds may be gone for good, so that any
    /// peer will do in the end.
    pub(crate) fn size(&mut self, now: Duration) -> FleetSize {
        let own = self.own_address;
        let is_heard =
            |a: &&SocketAddr| Some(**a) == own || self.peers.get(*a).is_some_and(Option::is_some);
        let heard = self.seeds.iter().filter(is_heard).count();
        let most_heard = self.seeds.is_empty() || 2 * heard > self.seeds.len();
        let any_heard = self.max_entries > 1;
        self.is_settled |=
            self.told_entries > 0 || most_heard || (any_heard && now >= SETTLING_TIME_MAX);
        let sharing = self.is_settled.then_some(self.max_entries.max(self.told_entries));
        FleetSize { most: self.max_entries, sharing }
    }

    /// Ids of this entry and of those that it has heard.
    pub(crate) fn entry_ids(&self) -> EntryIds {
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_some());
        EntryIds {
            own: self.own_address.map(EntryIds::id).unwrap_or_default(),
            heard: heard.map(|(address, _)| EntryIds::id(*address)).collect(),
        }
    }

    /// Records the most entries that a peer has seen.
    pub(crate) fn record_told(&mut self, entries: u16) {
        self.told_entries = self.told_entries.max(entries.into());
    }

    /// A live peer whose configuration is newer than `version`.
    pub(crate) fn newer_peer(&self, version: u64) -> Option<SocketAddr> {
        let is_newer =
            |p: &Option<Peer>| p.as_ref().is_some_and(|p| p.is_live && p.version > version);
        self.peers.iter().find(|(_, p)| is_newer(p)).map(|(a, _)| *a)
    }

    /// Interval of this entry's heartbeats; grows with the number of peers.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        let factor = self.peers.len().div_ceil(HEARTBEAT_PEERS).max(1);
        HEARTBEAT_INTERVAL * u32::try_from(factor).unwrap_or(1)
    }

    /// Applies a heartbeat. Returns `false` and ignores its state if it is this entry's own or not
    /// newer than the last one of the same run.
    pub(crate) fn record_heartbeat(
        &mut self,
        from: SocketAddr,
        heartbeat: Heartbeat,
        now: Duration,
    ) -> bool {
        if Some(from) == self.own_address {
            return false;
        }
        for address in &heartbeat.known_peers {
            self.add_address(*address);
        }
        let slot = self.peers.entry(from).or_default();
        let is_old = slot.as_ref().is_some_and(|p| {
            p.incarnation == heartbeat.incarnation && p.sequence >= heartbeat.sequence
        });
        if is_old {
            return false;
        }
        let was_live = slot.as_ref().is_some_and(|p| p.is_live);
        *slot = Some(Peer {
            zone: heartbeat.zone,
            heard_at: now,
            is_live: true,
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            version: heartbeat.version,
            loads: heartbeat.loads,
            demand: heartbeat.demand,
        });
        let zone = slot.as_ref().map(|p| p.zone.clone()).unwrap_or_default();
        if !was_live {
            let live = self.live_entries();
            self.max_entries = self.max_entries.max(live);
            tracing::info!(event = events::PEER_HEARD, peer = %from, %zone, live, "peer is live");
        }
        true
    }

    /// Marks peers without a recent heartbeat as down and drops their loads; removes peers, except
    /// seeds, whose last heartbeat is older than [`PEER_RETENTION`]. Returns whether a peer has gone
    /// down.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        let mut lost = Vec::new();
        for (address, slot) in &mut self.peers {
            let Some(peer) = slot.as_mut().filter(|p| p.is_live) else { continue };
            if now.saturating_sub(peer.heard_at) > PEER_TIMEOUT {
                peer.is_live = false;
                peer.loads.clear();
                peer.demand.clear();
                lost.push(*address);
            }
        }
        let seeds = &self.seeds;
        self.peers.retain(|address, slot| {
            let is_stale = |p: &Peer| now.saturating_sub(p.heard_at) > PEER_RETENTION;
            seeds.contains(address) || !slot.as_ref().is_some_and(is_stale)
        });
        for peer in &lost {
            tracing::warn!(event = events::PEER_SILENT, %peer, live = self.live_entries(), "peer is down");
        }
        !lost.is_empty()
    }

    /// Sum of the live peers' loads.
    pub(crate) fn peer_loads(&self) -> PeerLoads {
        let mut sum = PeerLoads::new();
        for load in self.peers.values().flatten().flat_map(|p| &p.loads) {
            let (running, tokens) = sum.entry(load.upstream).or_default();
            *running = running.saturating_add(load.running.into());
            *tokens = tokens.saturating_add(load.tokens);
        }
        sum
    }

    /// Sum of the live peers' demand.
    pub(crate) fn peer_demand(&self) -> PeerDemand {
        let mut sum = PeerDemand::new();
        for demand in self.peers.values().flatten().flat_map(|p| &p.demand) {
            let rate = sum.entry((demand.service, demand.priority)).or_default();
            *rate += f64::from(demand.rate) / RATE_UNITS;
        }
        sum
    }

    /// Mean time at which the live peers' load reports arrived; `None` without live peers.
    pub(crate) fn loads_time(&self) -> Option<Duration> {
        let live = self.peers.values().flatten().filter(|p| p.is_live).map(|p| p.heard_at);
        let (sum, count) =
            live.fold((Duration::ZERO, 0), |(sum, n), heard_at| (sum + heard_at, n + 1));
        sum.checked_div(count)
    }

    fn add_address(&mut self, address: SocketAddr) {
        if Some(address) != self.own_address && !self.peers.contains_key(&address) {
            self.peers.insert(address, None);
            self.new_addresses.push(address);
        }
    }

    /// Takes the addresses added since the last call, to which no heartbeat was sent yet.
    pub(crate) fn take_new_addresses(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.new_addresses)
    }

    /// Whether the peer at `address` counts as live, in the run `incarnation`.
    pub(crate) fn is_live(&self, address: SocketAddr, incarnation: Incarnation) -> bool {
        let peer = self.peers.get(&address).and_then(Option::as_ref);
        peer.is_some_and(|p| p.is_live && p.incarnation == incarnation)
    }
}
