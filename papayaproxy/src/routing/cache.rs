//! What is believed of the upstreams' prefix caches.
//!
//! Beliefs come from requests sent and from cache events, which are late and have gaps. Trust in a
//! belief halves with time, and a gap drops whatever was believed before it.

use super::codes;
use super::constants::{BLOCK_TOKENS, EVICT_WINDOW, HEAT_HALF, HEAT_MIN, HOLDERS_MAX, MATCHES_MAX};
use indexmap::IndexMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

/// Passes keys that are hashes already.
#[derive(Clone, Copy, Default)]
pub(crate) struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(byte);
        }
    }
    fn write_u64(&mut self, key: u64) {
        self.0 = key;
    }
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    upstream: u32,
    /// When it was last believed to hold the block, in milliseconds.
    seen: u32,
}

/// A count of requests that fades with time.
#[derive(Clone, Copy, Debug, Default)]
struct Heat {
    count: f32,
    at: u32,
}

impl Heat {
    fn read(&self, now: u32) -> f64 {
        let age = f64::from(now.saturating_sub(self.at)) / 1e3;
        f64::from(self.count) * (-age / HEAT_HALF).exp2()
    }

    fn add(&mut self, now: u32) {
        *self = Self { count: self.read(now) as f32 + 1.0, at: now };
    }
}

#[derive(Clone, Debug)]
struct Block {
    workspace: u32,
    heat: Heat,
    holders: [Option<Holder>; HOLDERS_MAX],
}

/// An upstream that is believed to hold a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Match {
    pub upstream: u32,
    pub blocks: u32,
    seen: u32,
}

/// The upstreams that are believed to hold a prefix, at most [`MATCHES_MAX`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Matches([Option<Match>; MATCHES_MAX]);

impl Matches {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Match> {
        self.0.iter().flatten()
    }

    pub(crate) fn find(&self, upstream: u32) -> Option<&Match> {
        self.iter().find(|m| m.upstream == upstream)
    }

    fn extend(&mut self, holder: Holder, depth: u32) {
        let known = self.0.iter_mut().flatten().find(|m| m.upstream == holder.upstream);
        if let Some(found) = known {
            if found.blocks == depth {
                found.blocks += 1;
                found.seen = holder.seen;
            }
        } else if depth == 0
            && let Some(free) = self.0.iter_mut().find(|m| m.is_none())
        {
            *free = Some(Match { upstream: holder.upstream, blocks: 1, seen: holder.seen });
        }
    }
}

/// Block hashes with the upstreams that are believed to hold them.
pub(crate) struct PrefixIndex {
    blocks: IndexMap<u64, Block, BuildHasherDefault<KeyHasher>>,
    /// Beliefs of an upstream up to this time, in milliseconds, are void.
    void: Vec<u32>,
    /// Every request.
    heat: Heat,
    capacity: usize,
    cursor: usize,
    half_life: f64,
}

fn millis(now: Duration) -> u32 {
    now.as_millis() as u32
}

impl PrefixIndex {
    pub(crate) fn new(capacity: usize, half_life: Duration) -> Self {
        Self {
            blocks: IndexMap::default(),
            void: Vec::new(),
            heat: Heat::default(),
            capacity: capacity.max(EVICT_WINDOW),
            cursor: 0,
            half_life: half_life.as_secs_f64(),
        }
    }

    /// Takes a new numbering of the upstreams; `moved` maps old indices to new ones.
    pub(crate) fn renumber(&mut self, moved: &[Option<u32>], count: usize) {
        let stays = |(old, new): (usize, &Option<u32>)| *new == Some(old as u32);
        if moved.len() == count && moved.iter().enumerate().all(stays) {
            return;
        }
        let mut void = vec![0; count];
        for (old, new) in moved.iter().enumerate() {
            if let Some(new) = *new {
                void[new as usize] = self.void[old];
            }
        }
        self.void = void;
        for block in self.blocks.values_mut() {
            for slot in &mut block.holders {
                let kept = slot.and_then(|h| moved[h.upstream as usize].map(|i| (h, i)));
                *slot = kept.map(|(h, i)| Holder { upstream: i, ..h });
            }
        }
    }

    /// Drops whatever is believed of an upstream so far.
    pub(crate) fn reset(&mut self, upstream: u32, now: Duration) {
        self.void[upstream as usize] = millis(now) + 1;
    }

    /// Notes that an upstream holds, or soon will hold, the blocks of a prefix.
    pub(crate) fn store(&mut self, workspace: u32, prefix: &[u64], upstream: u32, now: Duration) {
        let seen = millis(now);
        for &key in prefix {
            if !self.blocks.contains_key(&key) {
                self.make_room();
                self.blocks.insert(
                    key,
                    Block { workspace, heat: Heat::default(), holders: [None; HOLDERS_MAX] },
                );
            }
            let Some(block) = self.blocks.get_mut(&key) else { continue };
            put_holder(&mut block.holders, Holder { upstream, seen });
        }
    }

    /// Counts a request with `prefix`.
    pub(crate) fn count(&mut self, prefix: &[u64], now: Duration) {
        let now = millis(now);
        self.heat.add(now);
        for key in prefix {
            if let Some(block) = self.blocks.get_mut(key) {
                block.heat.add(now);
            }
        }
    }

    /// The part of all requests of late that had the block `key`; 0 while there were few.
    pub(crate) fn heat(&self, key: u64, now: Duration) -> f64 {
        let now = millis(now);
        let all = self.heat.read(now);
        if all < HEAT_MIN {
            return 0.0;
        }
        self.blocks.get(&key).map_or(0.0, |b| b.heat.read(now) / all)
    }

    /// Drops the belief that an upstream holds the blocks.
    pub(crate) fn evict(&mut self, prefix: &[u64], upstream: u32) {
        for key in prefix {
            let Some(block) = self.blocks.get_mut(key) else { continue };
            for slot in &mut block.holders {
                slot.take_if(|h| h.upstream == upstream);
            }
        }
    }

    /// Corrects a belief after an answer that was computed anew: the upstream holds these blocks now.
    pub(crate) fn correct(&mut self, workspace: u32, prefix: &[u64], upstream: u32, now: Duration) {
        self.reset(upstream, now);
        self.store(workspace, prefix, upstream, now + Duration::from_millis(1));
    }

    /// Finds the upstreams that are believed to hold a prefix of `prefix`.
    pub(crate) fn matches(&self, workspace: u32, prefix: &[u64]) -> Matches {
        let mut found = Matches::default();
        for (depth, key) in prefix.iter().enumerate() {
            let Some(block) = self.blocks.get(key) else { break };
            assert!(
                block.workspace == workspace,
                "{}: a cached prefix of another workspace was found",
                codes::CREDIT_CROSSED
            );
            let valid = |h: &&Holder| h.seen >= self.void[h.upstream as usize];
            for holder in block.holders.iter().flatten().filter(valid) {
                found.extend(*holder, depth as u32);
            }
            let depth = depth as u32;
            if !found.iter().any(|m| m.blocks > depth) {
                break;
            }
        }
        found
    }

    /// Tokens that may be credited for a match, with trust that halves with time.
    pub(crate) fn credit(&self, found: &Match, now: Duration) -> f64 {
        let age = f64::from(millis(now).saturating_sub(found.seen)) / 1e3;
        f64::from(found.blocks * BLOCK_TOKENS) * (-age / self.half_life).exp2()
    }

    fn make_room(&mut self) {
        if self.blocks.len() < self.capacity {
            return;
        }
        let start = self.cursor % (self.blocks.len() - EVICT_WINDOW + 1);
        let newest = |b: &Block| b.holders.iter().flatten().map(|h| h.seen).max();
        let window = start..start + EVICT_WINDOW;
        let oldest = window.min_by_key(|&i| self.blocks.get_index(i).and_then(|(_, b)| newest(b)));
        if let Some(index) = oldest {
            self.blocks.swap_remove_index(index);
        }
        self.cursor = start + EVICT_WINDOW;
    }
}

/// Puts a holder in its own slot, a free one, or that of the oldest.
fn put_holder(holders: &mut [Option<Holder>; HOLDERS_MAX], holder: Holder) {
    let own = holders.iter().position(|h| h.is_some_and(|h| h.upstream == holder.upstream));
    let free = || holders.iter().position(Option::is_none);
    let oldest = || (0..HOLDERS_MAX).min_by_key(|&i| holders[i].map(|h| h.seen));
    if let Some(index) = own.or_else(free).or_else(oldest) {
        holders[index] = Some(holder);
    }
}
