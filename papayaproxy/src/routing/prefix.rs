//! Chained hashes of a prompt's blocks.

use super::constants::{BLOCK_BYTES, BLOCKS_MAX};
use super::request::ModelKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes the whole blocks of `prompt`. Each hash covers all bytes before it, the workspace and the
/// model, so that equal hashes mean an equal prefix of one workspace under one model.
pub fn prompt_blocks(workspace: &str, model: ModelKey, prompt: &[u8]) -> Vec<u64> {
    let mut chain = xxh3_64_with_seed(workspace.as_bytes(), model.0);
    let whole = prompt.chunks_exact(BLOCK_BYTES).take(BLOCKS_MAX);
    let step = |block: &[u8]| {
        chain = xxh3_64_with_seed(block, chain);
        chain
    };
    whole.map(step).collect()
}
