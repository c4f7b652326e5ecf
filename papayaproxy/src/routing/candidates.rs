//! The upstreams of each service, prepared once for each change of the document or the live view.

use crate::base::name::{Incarnation, Name};
use crate::fleet::{Document, Role, Upstream};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::SystemTime;
use xxhash_rust::xxh3::xxh3_64;

/// How far an upstream is from this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the own zone.
    Zone,
    /// In another zone of the own region.
    Region,
    /// In another region.
    Far,
}

/// What the live view says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Presence {
    /// Whether its agent is heard of.
    pub live: bool,
    /// The run of its agent; `None` while it is not known.
    pub incarnation: Option<Incarnation>,
}

/// One upstream as a candidate.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// Address of its agent.
    pub agent: SocketAddr,
    /// How far it is.
    pub distance: Distance,
    /// What its engine is set up for.
    pub role: Role,
    /// The run of its agent.
    pub incarnation: Option<Incarnation>,
    /// Its lock-step group, as an index into the document's groups.
    pub group: Option<u16>,
    /// Hash of its name, for rendezvous hashing.
    pub(crate) seed: u64,
    /// When it takes work, as in the document.
    pub(crate) upstream: Upstream,
}

impl Candidate {
    /// Tells whether the document lets it take new work at `wall`.
    pub fn takes_work(&self, wall: SystemTime) -> bool {
        self.upstream.takes_work(wall)
    }
}

/// The live upstreams of one service, those of the own zone first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    pub members: Vec<u32>,
    pub near: usize,
    /// Upstreams that nothing is heard of, tried only where no other can take a request.
    pub silent: Vec<u32>,
}

/// Every upstream with the pools of the services.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// Generation of the document.
    pub generation: u64,
    /// Upstreams by index, in the document's order.
    pub upstreams: Vec<Candidate>,
    pub(crate) pools: IndexMap<Name, Pool>,
    indices: IndexMap<Name, u32>,
    pub(crate) groups: usize,
}

impl Candidates {
    /// Prepares the candidates for a process in `zone`. `presence` tells what the live view says of
    /// an upstream.
    pub fn prepare(document: &Document, zone: &Name, presence: impl Fn(&Name) -> Presence) -> Self {
        let group_of = groups_by_rank(document);
        let mut built = Self {
            generation: document.generation,
            groups: document.groups.len(),
            ..Self::default()
        };
        for service in document.services.keys() {
            built.pools.insert(service.clone(), Pool::default());
        }
        for (index, (name, upstream)) in document.upstreams.iter().enumerate() {
            let seen = presence(name);
            let candidate = Candidate {
                name: name.clone(),
                agent: upstream.agent,
                distance: distance(document, zone, &upstream.zone),
                role: upstream.role,
                incarnation: seen.incarnation,
                group: group_of.get(name).copied(),
                seed: xxh3_64(name.as_bytes()),
                upstream: upstream.clone(),
            };
            built.indices.insert(name.clone(), index as u32);
            built.upstreams.push(candidate);
            if upstream.open {
                built.offer(index as u32, &upstream.services, seen.live);
            }
        }
        built.sort_pools();
        built
    }

    /// The live upstreams of a service, whether they take new work or not.
    pub fn members(&self, service: &Name) -> impl Iterator<Item = &Candidate> {
        let members = self.pools.get(service).map_or(&[][..], |p| &p.members);
        members.iter().map(|i| &self.upstreams[*i as usize])
    }

    /// Finds the index of an upstream.
    pub fn index_of(&self, name: &str) -> Option<u32> {
        self.indices.get(name).copied()
    }

    fn offer(&mut self, index: u32, services: &[Name], live: bool) {
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
            let near = |&i: &u32| self.upstreams[i as usize].distance == Distance::Zone;
            pool.near = pool.members.iter().copied().take_while(|i| near(i)).count();
        }
    }
}

fn groups_by_rank(document: &Document) -> IndexMap<Name, u16> {
    let groups = document.groups.values().enumerate();
    groups.flat_map(|(i, g)| g.ranks.iter().map(move |r| (r.clone(), i as u16))).collect()
}

fn distance(document: &Document, own: &Name, other: &Name) -> Distance {
    if own == other {
        return Distance::Zone;
    }
    let region = |zone: &Name| document.zones.get(zone).map(|z| &z.region);
    if region(own).is_some() && region(own) == region(other) {
        return Distance::Region;
    }
    Distance::Far
}
