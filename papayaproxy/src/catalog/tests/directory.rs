//! The directory of upstreams: records that are added, removed, replaced or lapse.

use super::at;
use crate::base::name::Name;
use crate::catalog::Revision;
use crate::catalog::constants::LAPSE_GRACE;
use crate::catalog::directory::{Directory, UpstreamRecord, UpstreamState};
use rstest::rstest;
use std::time::Duration;

/// Position of a full read after the store has come back from a copy.
const REREAD: Revision = Revision { era: 1, number: 5 };
const NOW: Duration = Duration::from_secs(50);

fn record(state: UpstreamState) -> UpstreamRecord {
    UpstreamRecord {
        service: "ledger".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 6,
        state,
        cold: Duration::ZERO,
        started_ms: 1,
    }
}

fn ready(directory: &Directory) -> Vec<Name> {
    directory.ready().map(|(id, _)| id.clone()).collect()
}

#[rstest]
#[case::store_up(false, 0)]
#[case::store_down(true, 1)]
fn remove_by_outage(#[case] may_return: bool, #[case] left: usize) {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(5));
    directory.remove("i-1", at(6), may_return, NOW);
    assert_eq!(ready(&directory).len(), left);
}

/// A peer may still list an upstream whose removal is known here. Only a record written after the
/// removal may add it again.
#[rstest]
#[case::written_before(5, 0)]
#[case::written_after(7, 1)]
fn replace_from_peer_removed_stays_removed(#[case] revision: u64, #[case] left: usize) {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(5));
    directory.remove("i-1", at(6), false, NOW);
    let listed = vec![("i-1".into(), record(UpstreamState::Ready), at(revision))];
    directory.replace_from_peer(listed, at(7), NOW);
    assert_eq!(ready(&directory).len(), left);
}

/// Two readers of a zone: the first one's list lacks an upstream that has left, the second one has not
/// seen it leave. A list of an earlier revision must not bring it back.
#[test]
fn replace_from_peer_second_reader_behind() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(5));
    directory.replace_from_peer(Vec::new(), at(8), NOW);
    let behind = vec![("i-1".into(), record(UpstreamState::Ready), at(5))];
    directory.replace_from_peer(behind, at(8), NOW);
    assert!(ready(&directory).is_empty());
}

/// A record written after the peer's list was complete stays.
#[test]
fn replace_from_peer_newer_record_kept() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(9));
    directory.replace_from_peer(Vec::new(), at(8), NOW);
    assert_eq!(ready(&directory).len(), 1);
}

/// A peer's list may lack an upstream that is live: a later listing of the store adds it again at its
/// old revision.
#[test]
fn replace_from_peer_lacking_added_by_store() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(5));
    directory.replace_from_peer(Vec::new(), at(6), NOW);
    assert!(ready(&directory).is_empty());
    directory.replace(vec![("i-1".into(), record(UpstreamState::Ready), at(5))], at(9), false, NOW);
    assert_eq!(ready(&directory).len(), 1);
}

#[test]
fn expire_missing_removed() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(5));
    directory.remove("i-1", at(6), true, NOW);
    assert!(!directory.expire(Some(NOW), NOW + LAPSE_GRACE / 2));
    assert!(directory.expire(Some(NOW), NOW + LAPSE_GRACE));
    assert!(ready(&directory).is_empty());
}

/// An upstream that leaves shortly after the store's recovery is removed when the grace period ends,
/// which runs from the recovery and not from the removal.
#[test]
fn expire_removed_after_recovery_bounded() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(5));
    directory.remove("i-1", at(6), true, NOW + LAPSE_GRACE / 2);
    assert!(directory.expire(Some(NOW), NOW + LAPSE_GRACE));
    assert!(ready(&directory).is_empty());
}

#[test]
fn expire_returned_kept() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(5));
    directory.remove("i-1", at(6), true, NOW);
    assert!(directory.put(&"i-1".into(), record(UpstreamState::Ready), at(9)));
    assert!(!directory.expire(Some(NOW), NOW + LAPSE_GRACE * 2));
    assert_eq!(ready(&directory).len(), 1);
}

/// A draining upstream gets no new requests, and an older record does not undo that.
#[test]
fn put_draining_not_ready() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(5));
    assert!(directory.put(&"i-1".into(), record(UpstreamState::Draining), at(6)));
    assert!(ready(&directory).is_empty());
    assert!(
        !directory.put(&"i-1".into(), record(UpstreamState::Ready), at(5)),
        "older than the last record"
    );
    assert!(ready(&directory).is_empty());
}

#[test]
fn replace_missing_removed() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(5));
    directory.put(&"i-2".into(), record(UpstreamState::Ready), at(6));
    let listed = vec![("i-2".into(), record(UpstreamState::Ready), at(6))];
    assert!(directory.replace(listed, at(9), false, NOW));
    assert_eq!(ready(&directory), vec![Name::from("i-2")]);
}

/// The pages of a listing are no snapshot: the listing does not remove a record that was written
/// after it began.
#[test]
fn replace_newer_kept() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(12));
    assert!(!directory.replace(Vec::new(), at(9), false, NOW));
    assert_eq!(ready(&directory).len(), 1);
}

/// Further outages pause the grace period of a record that is missing, and do not begin it anew.
#[test]
fn expire_outages_repeated_bounded() {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(5));
    directory.remove("i-1", at(6), true, NOW);
    assert!(!directory.expire(Some(NOW), NOW));
    let (step, away) = (LAPSE_GRACE / 4, Duration::from_secs(1));
    let mut now = NOW;
    for _ in 0..3 {
        now += step;
        assert!(!directory.expire(Some(NOW), now));
        directory.resume_grace(now, now + away);
        now += away;
        assert!(!directory.expire(Some(now), now), "the store answered for less than the grace");
    }
    assert!(directory.expire(Some(now), now + step));
    assert!(ready(&directory).is_empty());
}

/// A store that comes back from a copy lists a replica as ready that has said since that it leaves. It
/// stays out of use (DRAIN); a replica that starts anew under its id is another one.
#[rstest]
#[case::same_run(1, 0)]
#[case::started_anew(2, 1)]
fn put_store_restored_draining_stays_draining(#[case] started_ms: u64, #[case] left: usize) {
    let mut directory = Directory::default();
    directory.put(&"i-1".into(), record(UpstreamState::Ready), at(4));
    directory.put(&"i-1".into(), record(UpstreamState::Draining), at(9));
    let copied = UpstreamRecord { started_ms, ..record(UpstreamState::Ready) };
    directory.replace(
        vec![("i-1".into(), copied, Revision { era: 1, number: 4 })],
        REREAD,
        true,
        NOW,
    );
    assert_eq!(ready(&directory).len(), left);
}
