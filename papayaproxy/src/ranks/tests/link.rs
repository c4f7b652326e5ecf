//! A lead that sends a plan to a large group over its host's link, in virtual time.

use super::maps::status;
use super::rank::report;
use crate::ranks::constants::{REPORT_MAX_AGE, TICK};
use crate::ranks::lead::{Lead, MapSizes, Phase, Reports};
use crate::ranks::message::Command;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

/// Bytes that a link of 6 Mbit/s carries in a millisecond.
const LINK_BYTES_PER_MS: usize = 750;
/// Time for which a message may wait for the link, so that the lead's reports arrive on time.
const QUEUE_MAX: Duration = Duration::from_millis(100);
/// From the end of a datagram's sending until the rank's replica has the order.
const EXECUTE_TIME: Duration = Duration::from_millis(10);
const COPY_TIME: Duration = Duration::from_millis(19);

/// What a lead gave to its link while the ranks prepared.
#[derive(Debug, Default)]
struct Sent {
    /// Longest time that the last byte of a command waited for the link.
    queue: Duration,
    bytes: usize,
    /// From the plan until all ranks had prepared; `None` if that took longer than a report counts.
    prepared_after: Option<Duration>,
}

/// Runs a preparation. Each rank confirms the order, and reports the copied map at a tick; `lost` are the
/// ranks whose first datagram is lost.
fn prepare(size: u16, sizes: MapSizes, lost: &[u16]) -> Sent {
    let mut lead = Lead::new(0, size, 1, 1);
    let mut now = Duration::from_secs(1);
    lead.begin(0, now);
    let mut reports: Reports =
        (0..size).map(|rank| (rank, (report(status(rank, size), lead.term()), now))).collect();
    lead.advance(&reports, 60.0, now);
    assert_eq!(*lead.phase(), Phase::Idle);
    let version = lead.propose(0, Arc::default(), sizes, now).unwrap();
    let (start, mut link_free, mut sent) = (now, now, Sent::default());
    let mut dropped = vec![false; size.into()];
    let mut ordered_at: Vec<Option<Duration>> = vec![None; size.into()];
    while now < start + REPORT_MAX_AGE {
        for (rank, command) in lead.advance(&reports, 60.0, now) {
            if !matches!(command, Command::Prepare { .. }) {
                sent.prepared_after = Some(now - start);
                return sent;
            }
            if rank != 0 {
                sent.bytes += sizes.changes;
                let time = Duration::from_micros(
                    (sizes.changes * 1000).div_ceil(LINK_BYTES_PER_MS) as u64,
                );
                link_free = link_free.max(now) + time;
                sent.queue = sent.queue.max(link_free - now);
            }
            let is_lost =
                lost.contains(&rank) && !std::mem::replace(&mut dropped[usize::from(rank)], true);
            if !is_lost {
                let at = if rank == 0 { now } else { link_free };
                ordered_at[usize::from(rank)].get_or_insert(at + EXECUTE_TIME);
            }
        }
        now += Duration::from_millis(1);
        for (rank, (report, heard)) in &mut reports {
            let phase = Duration::from_millis(u64::from(*rank) * 7 % TICK.as_millis() as u64);
            let is_tick = (now - phase).as_millis().is_multiple_of(TICK.as_millis());
            let ordered = ordered_at[usize::from(*rank)].filter(|at| now >= *at);
            if ordered.is_some() && report.status.lacks(version) {
                (report.status.copying, *heard) = (Some(version), now);
            }
            if is_tick {
                *heard = now;
                let is_done = ordered.is_some_and(|at| now >= at + COPY_TIME);
                report.status.prepared = is_done.then_some(version);
            }
        }
    }
    sent
}

/// A lead that repeats a plan faster than its link carries it is not heard any more: another rank takes
/// over, and the group never gets a new map.
#[rstest]
#[case::of_96(96, 1_200, &[])]
#[case::of_96_lossy(96, 1_200, &[3, 30, 31, 32, 90])]
#[case::of_256(256, 480, &[])]
fn prepare_large_group_link_kept_free(
    #[case] size: u16,
    #[case] changes: usize,
    #[case] lost: &[u16],
) {
    let sent = prepare(size, MapSizes { changes, whole: 9_000 }, lost);
    assert!(sent.queue <= QUEUE_MAX, "{sent:?}");
    assert!(sent.prepared_after.is_some(), "{sent:?}");
    assert!(sent.bytes <= changes * usize::from(size) * 5 / 4, "{sent:?}");
}
