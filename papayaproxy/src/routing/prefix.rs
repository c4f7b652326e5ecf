//! Chained hashes of the blocks of a prompt.

use super::constants::{BLOCK_BYTES, BLOCKS_MAX};
use super::request::ModelKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes the complete blocks of `prompt`, at most [`BLOCKS_MAX`]. Each hash covers the workspace,
/// the model and the prompt up to the end of its block, so that equal hashes mean equal prefixes of
/// the same workspace and model.
pub fn prompt_blocks(workspace: &str, model: ModelKey, prompt: &[u8]) -> Vec<u64> {
    let mut chain = xxh3_64_with_seed(workspace.as_bytes(), model.0);
    let whole = prompt.chunks_exact(BLOCK_BYTES).take(BLOCKS_MAX);
    let next_hash = |block: &[u8]| {
        chain = xxh3_64_with_seed(block, chain);
        chain
    };
    whole.map(next_hash).collect()
}
