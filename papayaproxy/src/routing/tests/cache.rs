//! Tests of the prefix index and of block hashes.

use super::super::attempt::CacheEvent;
use super::super::cache::PrefixIndex;
use super::super::constants::BLOCK_TOKENS;
use super::super::prefix::prompt_blocks;
use super::super::request::ModelKey;
use super::{Fixture, document, secs};
use rstest::rstest;

const CELLAR: u32 = 1;

fn index() -> PrefixIndex {
    let mut index = PrefixIndex::new(64, secs(60.0));
    index.renumber(&[], 4);
    index
}

#[test]
fn prompt_blocks_chained_by_workspace() {
    let model = ModelKey::new("pear", 1, None);
    let prompt = vec![7; 1000];
    let cellar = prompt_blocks("cellar", model, &prompt);
    assert_eq!(cellar.len(), 3);
    assert_eq!(cellar[..2], prompt_blocks("cellar", model, &prompt[..600]));
    let other = prompt_blocks("desk", model, &prompt);
    assert!(cellar.iter().all(|b| !other.contains(b)));
}

#[rstest]
#[case::whole(&[1, 2, 3], 3)]
#[case::start(&[1, 2, 9], 2)]
#[case::none(&[9, 1, 2], 0)]
fn matches_longest_prefix(#[case] prefix: &[u64], #[case] blocks: u32) {
    let mut index = index();
    index.store(CELLAR, &[1, 2, 3], 2, secs(1.0));
    let found = index.matches(CELLAR, prefix);
    assert_eq!(found.find(2).map_or(0, |m| m.blocks), blocks);
}

#[test]
fn expected_tokens_halves_with_time() {
    let mut index = index();
    index.store(CELLAR, &[1, 2], 2, secs(1.0));
    let found = index.matches(CELLAR, &[1, 2]);
    let expected = index.expected_tokens(found.find(2).unwrap(), secs(61.0));
    assert!((expected - f64::from(BLOCK_TOKENS)).abs() < 1e-6, "{expected}");
}

#[test]
fn clear_upstream_keeps_later_blocks() {
    let mut index = index();
    index.store(CELLAR, &[1], 2, secs(1.0));
    index.store(CELLAR, &[1], 3, secs(1.0));
    index.clear_upstream(2, secs(2.0));
    index.store(CELLAR, &[1, 2], 3, secs(1.5));
    assert!(index.matches(CELLAR, &[1]).find(2).is_none());
    assert!(index.matches(CELLAR, &[1]).find(3).is_some());
    index.store(CELLAR, &[1], 2, secs(3.0));
    assert!(index.matches(CELLAR, &[1]).find(2).is_some());
}

#[test]
fn store_bounded() {
    let mut index = index();
    (0..1000).for_each(|i| index.store(CELLAR, &[i], 1, secs(i as f64)));
    let kept = (0..1000).filter(|&i| index.matches(CELLAR, &[i]).find(1).is_some()).count();
    assert_eq!(kept, 64);
}

/// Guards against a match across workspaces: the assertion P1504 must trigger.
#[test]
#[should_panic(expected = "P1504")]
fn matches_other_workspace_panics() {
    let mut index = index();
    index.store(CELLAR, &[1], 2, secs(1.0));
    let _ = index.matches(CELLAR + 1, &[1]);
}

#[rstest]
#[case::in_order(&[0, 1, 2], 0)]
#[case::one_missing(&[0, 1, 3], 1)]
#[case::restarted(&[7, 0], 1)]
fn apply_cache_event_gaps_found(#[case] numbers: &[u64], #[case] gaps: usize) {
    let mut fixture = Fixture::new(&document());
    let event = CacheEvent::Stored { workspace: "cellar".into(), prefix: vec![1] };
    let found = numbers
        .iter()
        .filter(|&&n| fixture.router.apply_cache_event(0, n, &event, secs(1.0)))
        .count();
    assert_eq!(found, gaps);
}
