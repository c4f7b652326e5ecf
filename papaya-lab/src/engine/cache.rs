//! Prefix cache in limited memory. A workspace never profits from another's prefixes.

use super::journal::{Change, Kind};
use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

/// Bytes of prompt that count as one token.
pub(crate) const TOKEN_BYTES: usize = 4;

/// Tokens of one cached block.
pub(crate) const BLOCK_TOKENS: u32 = 16;

/// Tokens of a prompt.
pub(crate) fn token_count(prompt: &str) -> u32 {
    prompt.len().div_ceil(TOKEN_BYTES) as u32
}

/// A workspace's prompt prefix: hash of all its bytes up to the block's end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Block {
    workspace: String,
    prefix: u64,
}

/// Cached blocks, least recently used first.
#[derive(Debug)]
pub(crate) struct Cache {
    blocks: IndexMap<Block, u32>,
    limit: usize,
}

impl Cache {
    pub(crate) fn new(limit_tokens: u32) -> Self {
        Self { blocks: IndexMap::new(), limit: (limit_tokens / BLOCK_TOKENS) as usize }
    }

    /// Tokens held.
    pub(crate) fn tokens(&self) -> u32 {
        self.blocks.len() as u32 * BLOCK_TOKENS
    }

    /// Used part, from 0 to 1000.
    pub(crate) fn permille(&self) -> u16 {
        (self.blocks.len() * 1000 / self.limit.max(1)).min(1000) as u16
    }

    /// Uses the cache for `prompt`: gives its cached tokens, and keeps the whole of it from now on.
    pub(crate) fn touch(
        &mut self,
        workspace: &str,
        prompt: &str,
        changes: &mut Vec<Change>,
    ) -> u32 {
        let mut cached = 0;
        let mut missed = false;
        for (i, prefix) in prefixes(prompt).enumerate() {
            let tokens = (i as u32 + 1) * BLOCK_TOKENS;
            let block = Block { workspace: workspace.to_owned(), prefix };
            let known = self.blocks.shift_remove(&block).is_some();
            missed |= !known;
            if !missed {
                cached = tokens;
            }
            if !known {
                changes.push(Change::new(Kind::Stored, workspace, prefix, tokens));
            }
            self.blocks.insert(block, tokens);
        }
        self.evict(changes);
        cached
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self, changes: &mut Vec<Change>) {
        self.blocks.clear();
        changes.push(Change::new(Kind::Cleared, "", 0, 0));
    }

    fn evict(&mut self, changes: &mut Vec<Change>) {
        let excess = self.blocks.len().saturating_sub(self.limit);
        for (block, tokens) in self.blocks.drain(..excess) {
            changes.push(Change::new(Kind::Evicted, &block.workspace, block.prefix, tokens));
        }
    }
}

/// Hashes of the prompt's prefixes, one for each whole block.
fn prefixes(prompt: &str) -> impl Iterator<Item = u64> {
    let size = BLOCK_TOKENS as usize * TOKEN_BYTES;
    let mut hash = Xxh3::new();
    prompt.as_bytes().chunks_exact(size).map(move |block| {
        hash.update(block);
        hash.digest()
    })
}
