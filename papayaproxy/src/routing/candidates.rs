//! Candidates of each service, prepared anew when the fleet document or the live view changes.

use crate::base::name::{Incarnation, Name};
use crate::fleet::{Document, Role, Upstream};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::SystemTime;
use xxhash_rust::xxh3::xxh3_64;

/// Distance of an upstream from this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the zone of this process.
    SameZone,
    /// In another zone of the region of this process.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// State of an upstream in the live view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Presence {
    /// Whether its agent is live.
    pub live: bool,
    /// Incarnation of its agent; `None` while unknown.
    pub incarnation: Option<Incarnation>,
}

/// An upstream as a candidate for requests.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the upstream.
    pub name: Name,
    /// Address of the upstream's agent.
    pub agent: SocketAddr,
    /// Distance from this process.
    pub distance: Distance,
    /// Role of its engine.
    pub role: Role,
    /// Incarnation of its agent; `None` while unknown.
    pub incarnation: Option<Incarnation>,
    /// Index of its lock-step group in the document; `None` without a group.
    pub group: Option<u16>,
    /// Hash of the name, for rendezvous hashing.
    pub(crate) name_hash: u64,
    /// Record in the fleet document.
    pub(crate) upstream: Upstream,
}

impl Candidate {
    /// Whether the document allows new work at the wall-clock time `wall`.
    pub fn takes_work(&self, wall: SystemTime) -> bool {
        self.upstream.takes_work(wall)
    }
}

/// Upstreams of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Live upstreams, sorted by distance.
    pub members: Vec<u32>,
    /// Number of members in the zone of this process.
    pub near_count: usize,
    /// Upstreams that are not live, used only if no member is eligible.
    pub silent: Vec<u32>,
}

/// All upstreams, with a pool for each service.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// Generation of the fleet document.
    pub generation: u64,
    /// Upstreams in the order of the document.
    pub upstreams: Vec<Candidate>,
    pub(crate) pools: IndexMap<Name, Pool>,
    indices: IndexMap<Name, u32>,
    pub(crate) group_count: usize,
}

impl Candidates {
    /// Prepares the candidates for a process in `zone`. `presence_of` returns the state of an
    /// upstream in the live view.
    pub fn prepare(
        document: &Document,
        zone: &Name,
        presence_of: impl Fn(&Name) -> Presence,
    ) -> Self {
        let group_of = group_indices(document);
        let mut built = Self {
            generation: document.generation,
            group_count: document.groups.len(),
            ..Self::default()
        };
        for service in document.services.keys() {
            built.pools.insert(service.clone(), Pool::default());
        }
        for (index, (name, upstream)) in document.upstreams.iter().enumerate() {
            let presence = presence_of(name);
            let candidate = Candidate {
                name: name.clone(),
                agent: upstream.agent,
                distance: distance(document, zone, &upstream.zone),
                role: upstream.role,
                incarnation: presence.incarnation,
                group: group_of.get(name).copied(),
                name_hash: xxh3_64(name.as_bytes()),
                upstream: upstream.clone(),
            };
            built.indices.insert(name.clone(), index as u32);
            built.upstreams.push(candidate);
            if upstream.open {
                built.add_to_pools(index as u32, &upstream.services, presence.live);
            }
        }
        built.sort_pools();
        built
    }

    /// Live upstreams of a service, including those that may not take new work.
    pub fn members(&self, service: &Name) -> impl Iterator<Item = &Candidate> {
        let members = self.pools.get(service).map_or(&[][..], |p| &p.members);
        members.iter().map(|i| &self.upstreams[*i as usize])
    }

    /// Index of an upstream; `None` if the document does not contain it.
    pub fn index_of(&self, name: &str) -> Option<u32> {
        self.indices.get(name).copied()
    }

    fn add_to_pools(&mut self, index: u32, services: &[Name], live: bool) {
        for service in services {
            if let Some(pool) = self.pools.get_mut(service) {
                let list = if live { &mut pool.members } else { &mut pool.silent };
                list.push(index);
            }
        }
    }

    fn sort_pools(&mut self) {
        for pool in self.pools.values_mut() {
            pool.members.sort_by_key(|&i| self.upstreams[i as usize].distance);
            let is_near = |&i: &u32| self.upstreams[i as usize].distance == Distance::SameZone;
            pool.near_count = pool.members.iter().copied().take_while(|i| is_near(i)).count();
        }
    }
}

fn group_indices(document: &Document) -> IndexMap<Name, u16> {
    let groups = document.groups.values().enumerate();
    groups.flat_map(|(i, g)| g.ranks.iter().map(move |r| (r.clone(), i as u16))).collect()
}

fn distance(document: &Document, own: &Name, other: &Name) -> Distance {
    if own == other {
        return Distance::SameZone;
    }
    let region = |zone: &Name| document.zones.get(zone).map(|z| &z.region);
    if region(own).is_some() && region(own) == region(other) {
        return Distance::SameRegion;
    }
    Distance::OtherRegion
}
