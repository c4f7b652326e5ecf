//! Homes of a prefix by rendezvous hashing, so that all entries agree on them without messages.

use super::candidates::Candidates;
use super::constants::{HOME_BLOCKS, HOMES_MAX};

/// Block hash that determines the homes of a prefix; `None` for a prompt without a complete block.
///
/// It is the hash of the first [`HOME_BLOCKS`] blocks. While the block is hot, the number of blocks
/// doubles: a prefix shared by a large fraction of all requests would overload its homes.
pub(crate) fn home_key(prefix: &[u64], is_hot: impl Fn(u64) -> bool) -> Option<u64> {
    let mut depth = prefix.len().min(HOME_BLOCKS);
    let mut key = *prefix.get(depth.checked_sub(1)?)?;
    while depth < prefix.len() && is_hot(key) {
        depth = (2 * depth).min(prefix.len());
        key = prefix[depth - 1];
    }
    Some(key)
}

/// The eligible members with the highest rendezvous weights for `key`, in descending order.
pub(crate) fn homes(
    candidates: &Candidates,
    members: &[u32],
    key: u64,
    is_eligible: impl Fn(u32) -> bool,
) -> [Option<u32>; HOMES_MAX] {
    let mut best: [Option<(u64, u32)>; HOMES_MAX] = [None; HOMES_MAX];
    for &index in members {
        let weight = mix(key ^ candidates.upstreams[index as usize].name_hash);
        if best[HOMES_MAX - 1].is_some_and(|(lowest, _)| weight <= lowest) || !is_eligible(index) {
            continue;
        }
        best[HOMES_MAX - 1] = Some((weight, index));
        best.sort_unstable_by(|a, b| b.cmp(a));
    }
    best.map(|found| found.map(|(_, index)| index))
}

/// Finalizer of MurmurHash3.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    bits ^ (bits >> 33)
}
