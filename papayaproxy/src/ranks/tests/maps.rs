//! Maps sent as changes, the size of what agents send, and maps with impossible values.

use crate::catalog::ExpertFigures;
use crate::ranks::maps::{MapStore, changes, first_map, is_well_formed};
use crate::ranks::message::{
    ArmedMap, Command, CountSample, ExpertLists, LeadCommand, RankMessage, RankStatus,
};
use crate::ranks::report::{ReportSchedule, ReportState, decode_counts, encode_counts};
use rstest::rstest;
use std::sync::Arc;

fn figures() -> ExpertFigures {
    ExpertFigures {
        sets: 16,
        experts: 192,
        rank_slots: 3,
        spare_slots: 2,
        copy_us: 6_400,
        rank_requests: 6,
    }
}

/// A map with 160 changed lists.
fn planned(old: &ExpertLists) -> ExpertLists {
    let mut map = old.clone();
    for set in 0..16u16 {
        for rank in 0..10u16 {
            map[usize::from(set)][usize::from(rank)].push((set * 7 + rank * 13 + 5) % 192);
        }
    }
    map
}

#[test]
fn apply_changes_whole_map() {
    let old = first_map(96, &figures());
    let new = planned(&old);
    let changed = changes(0, &old, &new);
    let mut store = MapStore::default();
    let first = || Some(first_map(96, &figures()));
    let applied = store.apply(1, &changed, first).unwrap();
    assert!(*applied == new);
    store.insert(1, 7, applied);
    let back = changes(7, &new, &old);
    assert!(*store.apply(1, &back, || None).unwrap() == old);
}

/// A rank that missed the map before, or has it from another epoch, must not build a wrong one.
#[rstest]
#[case::base_unknown(1, 7, true)]
#[case::other_epoch(2, 5, true)]
#[case::other_content(1, 5, false)]
fn apply_changes_base_differs_none(#[case] epoch: u64, #[case] base: u64, #[case] same: bool) {
    let old = first_map(96, &figures());
    let mut known = old.clone();
    if !same {
        known[3][50] = vec![1, 2];
    }
    let mut store = MapStore::default();
    store.insert(1, 5, Arc::new(known));
    let changed = changes(base, &old, &planned(&old));
    assert!(store.apply(epoch, &changed, || None).is_none());
}

/// A set or rank that the map does not have is refused, not a reason to stop.
#[test]
fn apply_changes_out_of_range_none() {
    let old = first_map(96, &figures());
    let mut changed = changes(0, &old, &planned(&old));
    changed.lists[0].rank = u16::MAX;
    assert!(MapStore::default().apply(1, &changed, || Some(old)).is_none());
}

#[rstest]
#[case::expert(|m: &mut ExpertLists| m[0][0] = vec![192])]
#[case::slots(|m: &mut ExpertLists| m[0][0] = vec![1, 2, 3, 4])]
#[case::ranks(|m: &mut ExpertLists| m[1].truncate(95))]
#[case::sets(|m: &mut ExpertLists| m.truncate(15))]
fn is_well_formed_invalid(#[case] spoil: fn(&mut ExpertLists)) {
    let mut map = first_map(96, &figures());
    assert!(is_well_formed(&map, 96, &figures()));
    spoil(&mut map);
    assert!(!is_well_formed(&map, 96, &figures()));
}

/// The link of an agent's host carries 6 Mbit/s. A map as changes must not fill it for longer than
/// a tenth of a second, in front of the lead's own reports.
#[test]
fn prepare_group_of_96_fits_link() {
    let old = first_map(96, &figures());
    let changed = Arc::new(changes(0, &old, &planned(&old)));
    let command = Command::PrepareChanges { version: 1 << 40, changes: changed };
    let lead_command = LeadCommand { term: 1 << 17, epoch: 1, command };
    let message = RankMessage::Command(Box::new(lead_command));
    let bytes = postcard::to_stdvec(&message).unwrap().len() * 95;
    assert!(bytes < 6_000_000 / 8 / 4, "{bytes} bytes to 95 ranks");
}

#[rstest]
#[case::small(vec![0, 1, 255])]
#[case::large(vec![0, 70_000, 1_000_000])]
fn encode_counts_precision(#[case] counts: Vec<u32>) {
    let decoded = decode_counts(&encode_counts(&counts));
    let largest = f64::from(*counts.iter().max().unwrap());
    for (count, decoded) in counts.iter().zip(decoded) {
        assert!(f64::from(count.abs_diff(decoded)) <= largest / 128.0, "{count} as {decoded}");
    }
}

/// A shift that no count has must not stop the process.
#[test]
fn decode_counts_shift_too_large() {
    decode_counts(&CountSample { shift: u8::MAX, counts: vec![255; 4] });
}

pub(super) fn status(rank: u16, size: u16) -> RankStatus {
    RankStatus {
        group: "g0".into(),
        epoch: 1,
        rank,
        size,
        open: true,
        busy: false,
        sequence: 0,
        running: 4,
        waiting: 0,
        started_ms: 1,
        slowdown: 1.0,
        step: 1,
        version: 0,
        copying: None,
        prepared: None,
        armed: None,
        held: None,
    }
}

/// Datagrams that a lead receives in a second from the other ranks of its group, and their counts.
fn received(size: u16, cells: usize) -> (usize, usize) {
    let (mut reports, mut counts) = (0, 0);
    for rank in 1..size {
        let mut schedule = ReportSchedule::default();
        let status = status(rank, size);
        for tick in 0..110 {
            let due = schedule.due(ReportState {
                status: &status,
                lead: Some("10.0.0.1:1".parse().unwrap()),
                is_lead: false,
                term: 0,
                is_uncertain: false,
                wants_map: false,
                cells,
                tick,
                is_regular: true,
            });
            // The first second is left out: all report at once when they hear of the lead.
            if tick >= 10 {
                reports += usize::from(due.status);
                counts += usize::from(due.counts) * cells;
            }
        }
    }
    (reports / 10, counts / 10)
}

/// What a lead receives must not grow with the size of its group beyond what a link of 6 Mbit/s and
/// a seventh of a core can take.
#[rstest]
#[case::of_8(8, 384)]
#[case::of_32(32, 1536)]
#[case::of_96(96, 3072)]
#[case::of_256(256, 8192)]
fn due_lead_receives_bounded(#[case] size: u16, #[case] cells: usize) {
    let (reports, bytes) = received(size, cells);
    assert!(reports <= 900, "{reports} reports a second");
    assert!(bytes <= 180_000, "{bytes} bytes of counts a second");
}

/// A change that the lead waits for is reported at once, also between ticks.
#[test]
fn due_armed_at_once() {
    let mut schedule = ReportSchedule::default();
    let mut is_due = |status: &RankStatus| {
        let state = ReportState {
            status,
            lead: Some("10.0.0.1:1".parse().unwrap()),
            is_lead: false,
            term: 0,
            is_uncertain: false,
            wants_map: false,
            cells: 3072,
            tick: 1,
            is_regular: false,
        };
        schedule.due(state).status
    };
    let mut status = status(70, 96);
    assert!(is_due(&status));
    assert!(!is_due(&status));
    status.armed = Some(ArmedMap { version: 1, step: Some(5) });
    assert!(is_due(&status));
}
