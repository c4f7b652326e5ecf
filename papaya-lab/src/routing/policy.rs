//! The policies that are compared.

use papayaproxy::routing::{Decision, Moment, Request, Router};
use rand::RngExt;
use rand::rngs::StdRng;

/// What a baseline sees of an upstream: its last report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Seen {
    pub live: bool,
    pub requests: u32,
}

/// One entry's picture, as far as policies use it.
pub(crate) struct Picture {
    pub router: Router,
    /// Last reports by upstream.
    pub seen: Vec<Seen>,
    pub cursor: usize,
    pub rng: StdRng,
}

/// What a policy chose.
pub(crate) enum Pick {
    /// The router's decision, to be followed by it.
    Routed(Box<Decision>),
    /// An upstream by index, chosen by a baseline.
    Bare(u32),
    /// Nothing can take the request.
    Refused,
}

/// A policy by name.
#[derive(Clone, Copy)]
pub(crate) struct Policy {
    pub name: &'static str,
    /// Chooses among the upstream indices of the request's service.
    pub choose: fn(&mut Picture, &Request<'_>, &[u32], Moment) -> Pick,
}

/// The baselines, then the router itself.
pub(crate) const POLICIES: [Policy; 5] = [
    Policy { name: "round robin", choose: round_robin },
    Policy { name: "least reported", choose: least_reported },
    Policy { name: "two choices", choose: two_choices },
    Policy { name: "prefix hash", choose: prefix_hash },
    OURS,
];

/// The router.
pub(crate) const OURS: Policy = Policy { name: "papayaproxy", choose: ours };

fn live(picture: &Picture, members: &[u32]) -> Vec<u32> {
    members.iter().copied().filter(|&i| picture.seen[i as usize].live).collect()
}

fn bare(found: Option<u32>) -> Pick {
    found.map_or(Pick::Refused, Pick::Bare)
}

fn round_robin(picture: &mut Picture, _: &Request<'_>, members: &[u32], _: Moment) -> Pick {
    let live = live(picture, members);
    picture.cursor += 1;
    bare(live.get(picture.cursor % live.len().max(1)).copied())
}

fn least_reported(picture: &mut Picture, _: &Request<'_>, members: &[u32], _: Moment) -> Pick {
    let live = live(picture, members);
    let least = live.iter().map(|&i| picture.seen[i as usize].requests).min();
    let equal: Vec<u32> =
        live.into_iter().filter(|&i| Some(picture.seen[i as usize].requests) == least).collect();
    if equal.is_empty() {
        return bare(None);
    }
    let index = picture.rng.random_range(0..equal.len());
    bare(equal.get(index).copied())
}

fn two_choices(picture: &mut Picture, _: &Request<'_>, members: &[u32], _: Moment) -> Pick {
    let live = live(picture, members);
    if live.is_empty() {
        return bare(None);
    }
    let mut draw = || live[picture.rng.random_range(0..live.len())];
    let (a, b) = (draw(), draw());
    bare([a, b].into_iter().min_by_key(|&i| picture.seen[i as usize].requests))
}

fn prefix_hash(picture: &mut Picture, request: &Request<'_>, members: &[u32], at: Moment) -> Pick {
    let Some(key) = request.prefix.get(request.prefix.len().min(8).wrapping_sub(1)) else {
        return round_robin(picture, request, members, at);
    };
    let live = live(picture, members);
    let weight = |&i: &u32| {
        let bytes = [key.to_le_bytes(), u64::from(i).to_le_bytes()].concat();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    };
    bare(live.into_iter().max_by_key(weight))
}

fn ours(picture: &mut Picture, request: &Request<'_>, _: &[u32], at: Moment) -> Pick {
    match picture.router.choose(request, at, &mut picture.rng) {
        Ok(decision) => Pick::Routed(Box::new(decision)),
        Err(_) => Pick::Refused,
    }
}
