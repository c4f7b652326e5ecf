//! The home of a prefix by rendezvous hashing, so that entries agree on it without messages.

use super::candidates::Candidates;
use super::constants::{HOME_BLOCKS, HOMES};

/// The hash that decides the home of a prefix; `None` for a prompt without a whole block.
///
/// It covers the first blocks, and twice as many as long as that start is hot: a start that a large
/// part of all requests share would be more than its homes could serve.
pub(crate) fn home_key(prefix: &[u64], is_hot: impl Fn(u64) -> bool) -> Option<u64> {
    let mut depth = prefix.len().min(HOME_BLOCKS);
    let mut key = *prefix.get(depth.checked_sub(1)?)?;
    while depth < prefix.len() && is_hot(key) {
        depth = (2 * depth).min(prefix.len());
        key = prefix[depth - 1];
    }
    Some(key)
}

/// The members with the highest weights for `key` that `fits` lets through, best first.
pub(crate) fn homes(
    candidates: &Candidates,
    members: &[u32],
    key: u64,
    fits: impl Fn(u32) -> bool,
) -> [Option<u32>; HOMES] {
    let mut best: [Option<(u64, u32)>; HOMES] = [None; HOMES];
    for &index in members {
        let weight = mix(key ^ candidates.upstreams[index as usize].seed);
        if best[HOMES - 1].is_some_and(|(least, _)| weight <= least) || !fits(index) {
            continue;
        }
        best[HOMES - 1] = Some((weight, index));
        best.sort_unstable_by(|a, b| b.cmp(a));
    }
    best.map(|found| found.map(|(_, index)| index))
}

/// Spreads the bits of a hash (the finalizer of MurmurHash3).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    bits ^ (bits >> 33)
}
