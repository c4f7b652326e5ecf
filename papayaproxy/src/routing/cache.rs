//! Index of the prompt prefixes that upstreams are expected to hold in their caches.
//!
//! Its records come from the requests sent and from cache events, which arrive late and with gaps.
//! The tokens expected of a record halve with its age, and a gap invalidates all earlier records of
//! the upstream.

use super::codes;
use super::constants::{
    BLOCK_TOKENS, EVICTION_WINDOW, HOLDERS_MAX, HOT_REQUESTS_MIN, MATCHES_MAX,
    REQUEST_HALF_LIFE_SECONDS,
};
use indexmap::IndexMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

/// Hasher that returns the key itself, for keys that are hashes already.
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

/// An upstream recorded as holding a block.
#[derive(Clone, Copy, Debug)]
struct Holder {
    upstream: u32,
    /// Time of the last record, in milliseconds.
    seen_ms: u32,
}

/// A count of requests that halves every [`REQUEST_HALF_LIFE_SECONDS`].
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    /// Value at `at_ms`.
    count: f32,
    /// Time of the last increment, in milliseconds.
    at_ms: u32,
}

impl DecayingCount {
    fn read(&self, now_ms: u32) -> f64 {
        let age = f64::from(now_ms.saturating_sub(self.at_ms)) / 1e3;
        f64::from(self.count) * (-age / REQUEST_HALF_LIFE_SECONDS).exp2()
    }

    fn add(&mut self, now_ms: u32) {
        *self = Self { count: self.read(now_ms) as f32 + 1.0, at_ms: now_ms };
    }
}

#[derive(Clone, Debug)]
struct Block {
    workspace: u32,
    requests: DecayingCount,
    holders: [Option<Holder>; HOLDERS_MAX],
}

/// An upstream recorded as holding a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Match {
    pub upstream: u32,
    /// Length of the prefix.
    pub blocks: u32,
    /// Time of the record of the last block, in milliseconds.
    seen_ms: u32,
}

/// The upstreams recorded as holding a prefix, at most [`MATCHES_MAX`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Matches([Option<Match>; MATCHES_MAX]);

impl Matches {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Match> {
        self.0.iter().flatten()
    }

    pub(crate) fn find(&self, upstream: u32) -> Option<&Match> {
        self.iter().find(|m| m.upstream == upstream)
    }

    /// Extends the holder's match by the block at `depth` if all earlier blocks match.
    fn extend(&mut self, holder: Holder, depth: u32) {
        let known = self.0.iter_mut().flatten().find(|m| m.upstream == holder.upstream);
        if let Some(found) = known {
            if found.blocks == depth {
                found.blocks += 1;
                found.seen_ms = holder.seen_ms;
            }
        } else if depth == 0
            && let Some(free) = self.0.iter_mut().find(|m| m.is_none())
        {
            *free = Some(Match { upstream: holder.upstream, blocks: 1, seen_ms: holder.seen_ms });
        }
    }
}

/// Maps block hashes to the upstreams recorded as holding the blocks.
pub(crate) struct PrefixIndex {
    blocks: IndexMap<u64, Block, BuildHasherDefault<KeyHasher>>,
    /// By upstream: records from before this time, in milliseconds, are ignored.
    valid_from: Vec<u32>,
    /// All requests.
    requests: DecayingCount,
    /// Most blocks held.
    capacity: usize,
    /// Position of the next eviction window.
    cursor: usize,
    half_life_seconds: f64,
}

fn millis(now: Duration) -> u32 {
    now.as_millis() as u32
}

impl PrefixIndex {
    pub(crate) fn new(capacity: usize, half_life: Duration) -> Self {
        Self {
            blocks: IndexMap::default(),
            valid_from: Vec::new(),
            requests: DecayingCount::default(),
            capacity: capacity.max(EVICTION_WINDOW),
            cursor: 0,
            half_life_seconds: half_life.as_secs_f64(),
        }
    }

    /// Renumbers the upstreams: `new_indices` maps old indices to new ones, and removed upstreams
    /// to `None`.
    pub(crate) fn renumber(&mut self, new_indices: &[Option<u32>], count: usize) {
        let is_same = |(old, new): (usize, &Option<u32>)| *new == Some(old as u32);
        if new_indices.len() == count && new_indices.iter().enumerate().all(is_same) {
            return;
        }
        let mut valid_from = vec![0; count];
        for (old, new) in new_indices.iter().enumerate() {
            if let Some(new) = *new {
                valid_from[new as usize] = self.valid_from[old];
            }
        }
        self.valid_from = valid_from;
        for block in self.blocks.values_mut() {
            for slot in &mut block.holders {
                let kept = slot.and_then(|h| new_indices[h.upstream as usize].map(|i| (h, i)));
                *slot = kept.map(|(h, i)| Holder { upstream: i, ..h });
            }
        }
    }

    /// Invalidates all records of an upstream up to `now`.
    pub(crate) fn clear_upstream(&mut self, upstream: u32, now: Duration) {
        self.valid_from[upstream as usize] = millis(now) + 1;
    }

    /// Records that an upstream holds, or soon will hold, the blocks of a prefix.
    pub(crate) fn store(&mut self, workspace: u32, prefix: &[u64], upstream: u32, now: Duration) {
        let seen_ms = millis(now);
        for &key in prefix {
            if !self.blocks.contains_key(&key) {
                self.evict_one();
                self.blocks.insert(
                    key,
                    Block {
                        workspace,
                        requests: DecayingCount::default(),
                        holders: [None; HOLDERS_MAX],
                    },
                );
            }
            let Some(block) = self.blocks.get_mut(&key) else { continue };
            put_holder(&mut block.holders, Holder { upstream, seen_ms });
        }
    }

    /// Counts a request with `prefix`.
    pub(crate) fn count_request(&mut self, prefix: &[u64], now: Duration) {
        let now_ms = millis(now);
        self.requests.add(now_ms);
        for key in prefix {
            if let Some(block) = self.blocks.get_mut(key) {
                block.requests.add(now_ms);
            }
        }
    }

    /// Fraction of recent requests that contain the block `key`; 0 while there are fewer than
    /// [`HOT_REQUESTS_MIN`].
    pub(crate) fn request_share(&self, key: u64, now: Duration) -> f64 {
        let now_ms = millis(now);
        let total = self.requests.read(now_ms);
        if total < HOT_REQUESTS_MIN {
            return 0.0;
        }
        self.blocks.get(&key).map_or(0.0, |b| b.requests.read(now_ms) / total)
    }

    /// Removes the records of the blocks for an upstream.
    pub(crate) fn evict(&mut self, prefix: &[u64], upstream: u32) {
        for key in prefix {
            let Some(block) = self.blocks.get_mut(key) else { continue };
            for slot in &mut block.holders {
                slot.take_if(|h| h.upstream == upstream);
            }
        }
    }

    /// Replaces all records of an upstream by the blocks of a prompt that it had to compute anew.
    pub(crate) fn replace(&mut self, workspace: u32, prefix: &[u64], upstream: u32, now: Duration) {
        self.clear_upstream(upstream, now);
        self.store(workspace, prefix, upstream, now + Duration::from_millis(1));
    }

    /// Finds the upstreams recorded as holding a prefix of `prefix`.
    pub(crate) fn matches(&self, workspace: u32, prefix: &[u64]) -> Matches {
        let mut found = Matches::default();
        for (depth, key) in prefix.iter().enumerate() {
            let Some(block) = self.blocks.get(key) else { break };
            assert!(
                block.workspace == workspace,
                "{}: a cached prefix of another workspace was found",
                codes::CREDIT_CROSSED
            );
            let valid = |h: &&Holder| h.seen_ms >= self.valid_from[h.upstream as usize];
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

    /// Tokens that a match is expected to save; halves with the age of the record.
    pub(crate) fn expected_tokens(&self, found: &Match, now: Duration) -> f64 {
        let age = f64::from(millis(now).saturating_sub(found.seen_ms)) / 1e3;
        f64::from(found.blocks * BLOCK_TOKENS) * (-age / self.half_life_seconds).exp2()
    }

    /// Removes the block with the oldest record of the next [`EVICTION_WINDOW`] blocks if the index
    /// is full.
    fn evict_one(&mut self) {
        if self.blocks.len() < self.capacity {
            return;
        }
        let start = self.cursor % (self.blocks.len() - EVICTION_WINDOW + 1);
        let newest = |b: &Block| b.holders.iter().flatten().map(|h| h.seen_ms).max();
        let window = start..start + EVICTION_WINDOW;
        let oldest = window.min_by_key(|&i| self.blocks.get_index(i).and_then(|(_, b)| newest(b)));
        if let Some(index) = oldest {
            self.blocks.swap_remove_index(index);
        }
        self.cursor = start + EVICTION_WINDOW;
    }
}

/// Replaces the record of the same upstream, else fills a free slot, else replaces the oldest
/// record.
fn put_holder(holders: &mut [Option<Holder>; HOLDERS_MAX], holder: Holder) {
    let own = holders.iter().position(|h| h.is_some_and(|h| h.upstream == holder.upstream));
    let free = || holders.iter().position(Option::is_none);
    let oldest = || (0..HOLDERS_MAX).min_by_key(|&i| holders[i].map(|h| h.seen_ms));
    if let Some(index) = own.or_else(free).or_else(oldest) {
        holders[index] = Some(holder);
    }
}
