//! Entries that come, leave and lapse.

use crate::base::name::Name;
use crate::catalog::constants::LAPSE_TIME;
use crate::catalog::directory::{Directory, UpstreamRecord, UpstreamState};
use rstest::rstest;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(50);

fn entry(state: UpstreamState) -> UpstreamRecord {
    UpstreamRecord {
        service: "ledger".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 6,
        state,
        cold: false,
        started_ms: 1,
    }
}

fn ready(directory: &Directory) -> Vec<Name> {
    directory.ready().map(|(id, _)| id.clone()).collect()
}

#[rstest]
#[case::sure(false, 0)]
#[case::doubtful(true, 1)]
fn remove_by_doubt(#[case] doubt: bool, #[case] left: usize) {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), entry(UpstreamState::Ready), 5);
    directory.remove("i-1", 6, doubt, NOW);
    assert_eq!(ready(&directory).len(), left);
}

/// A peer that still doubts whether an upstream has left lists it. Here it is known to have left, so
/// that only a later entry brings it back.
#[rstest]
#[case::as_it_was(5, 0)]
#[case::written_since(7, 1)]
fn adopt_left_stays_away(#[case] revision: u64, #[case] left: usize) {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), entry(UpstreamState::Ready), 5);
    directory.remove("i-1", 6, false, NOW);
    directory.adopt(vec![("i-1".into(), entry(UpstreamState::Ready), revision)], NOW);
    assert_eq!(ready(&directory).len(), left);
}

/// What a peer lacks is gone, until the store itself lists it.
#[test]
fn adopt_lacking_back_by_store() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), entry(UpstreamState::Ready), 5);
    directory.adopt(Vec::new(), NOW);
    assert!(ready(&directory).is_empty());
    directory.replace(vec![("i-1".into(), entry(UpstreamState::Ready), 5)], 9, false, NOW);
    assert_eq!(ready(&directory).len(), 1);
}

#[test]
fn expire_not_back_gone() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), entry(UpstreamState::Ready), 5);
    directory.remove("i-1", 6, true, NOW);
    assert!(!directory.expire(Some(NOW), NOW + LAPSE_TIME / 2));
    assert!(directory.expire(Some(NOW), NOW + LAPSE_TIME));
    assert!(ready(&directory).is_empty());
}

/// An upstream leaves shortly after the store is back: it is in use no longer than entries that
/// lapsed meanwhile may take to return, counted from the store's return.
#[test]
fn expire_left_after_return_bounded() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), entry(UpstreamState::Ready), 5);
    directory.remove("i-1", 6, true, NOW + LAPSE_TIME / 2);
    assert!(directory.expire(Some(NOW), NOW + LAPSE_TIME));
    assert!(ready(&directory).is_empty());
}

#[test]
fn expire_back_kept() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), entry(UpstreamState::Ready), 5);
    directory.remove("i-1", 6, true, NOW);
    assert!(directory.put(&"i-1".into(), entry(UpstreamState::Ready), 9));
    assert!(!directory.expire(Some(NOW), NOW + LAPSE_TIME * 2));
    assert_eq!(ready(&directory).len(), 1);
}

/// A leaving upstream takes nothing new, whatever the store's trouble.
#[test]
fn put_draining_not_ready() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), entry(UpstreamState::Ready), 5);
    assert!(directory.put(&"i-1".into(), entry(UpstreamState::Draining), 6));
    assert!(ready(&directory).is_empty());
    assert!(
        !directory.put(&"i-1".into(), entry(UpstreamState::Ready), 5),
        "older than the last word"
    );
    assert!(ready(&directory).is_empty());
}

#[test]
fn replace_missing_gone() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), entry(UpstreamState::Ready), 5);
    directory.put(&"i-2".into(), entry(UpstreamState::Ready), 6);
    let listed = vec![("i-2".into(), entry(UpstreamState::Ready), 6)];
    assert!(directory.replace(listed, 9, false, NOW));
    assert_eq!(ready(&directory), vec![Name::from("i-2")]);
}

/// Pages are no snapshot: an entry written after the listing began is not taken away by it.
#[test]
fn replace_newer_kept() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), entry(UpstreamState::Ready), 12);
    assert!(!directory.replace(Vec::new(), 9, false, NOW));
    assert_eq!(ready(&directory).len(), 1);
}
