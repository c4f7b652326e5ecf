//! Prefix cache in limited memory. A workspace never profits from another's prefixes.

use super::journal::{Change, Kind};
use indexmap::IndexMap;
use papayaproxy::routing::{BLOCK_TOKENS, ModelKey, prompt_blocks};

/// Bytes of prompt that count as one token.
pub(crate) const TOKEN_BYTES: usize = 4;

/// Tokens of a prompt.
pub(crate) fn token_count(prompt: &str) -> u32 {
    prompt.len().div_ceil(TOKEN_BYTES) as u32
}

#[derive(Debug)]
struct Block {
    workspace: String,
    /// Tokens of the prompt up to the block's end.
    tokens: u32,
}

/// Cached blocks by the hash of all that they depend on, least recently used first.
#[derive(Debug)]
pub(crate) struct Cache {
    blocks: IndexMap<u64, Block>,
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
        model: ModelKey,
        prompt: &str,
        changes: &mut Vec<Change>,
    ) -> u32 {
        let mut cached = 0;
        let mut missed = false;
        let hashes = prompt_blocks(workspace, model, prompt.as_bytes());
        for (i, prefix) in hashes.into_iter().enumerate() {
            let tokens = (i as u32 + 1) * BLOCK_TOKENS;
            let known = self.blocks.shift_remove(&prefix).is_some();
            missed |= !known;
            if !missed {
                cached = tokens;
            }
            if !known {
                changes.push(Change::new(Kind::Stored, workspace, prefix, tokens));
            }
            self.blocks.insert(prefix, Block { workspace: workspace.to_owned(), tokens });
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
        for (prefix, block) in self.blocks.drain(..excess) {
            changes.push(Change::new(Kind::Evicted, &block.workspace, prefix, block.tokens));
        }
    }
}
