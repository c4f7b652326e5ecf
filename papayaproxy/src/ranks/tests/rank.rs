//! What a rank reports of the orders that it carries out.

use super::maps::status;
use crate::ranks::constants::{PREPARE_TIMEOUT, RESEND_INTERVAL, TICK};
use crate::ranks::lead::{Lead, MapSizes, Reports};
use crate::ranks::message::{AgentReport, Command, CountSample, LeadCommand, RankStatus};
use crate::ranks::rank::RankTracker;
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);

pub(super) fn report(status: RankStatus, term: u64) -> AgentReport {
    AgentReport {
        status,
        replica: "10.0.0.1:1".parse().unwrap(),
        term,
        order_uncertain: false,
        experts: (0, Vec::new()),
        expert_counts: CountSample::default(),
        wants_map: false,
    }
}

fn copying(tracker: &RankTracker) -> Option<u64> {
    tracker.status.as_ref().unwrap().copying
}

/// A replica does not tell that it copies: until its next report a repeated command would be carried out
/// again.
#[test]
fn update_copying_until_prepared() {
    let mut tracker = RankTracker::default();
    tracker.update(status(1, 2), NOW);
    tracker.mark_copying(7, NOW);
    tracker.update(status(1, 2), NOW);
    assert_eq!(copying(&tracker), Some(7));
    let command = Command::Prepare { version: 7, map: Arc::default() };
    assert_eq!(tracker.accept(&LeadCommand { term: 1, epoch: 1, command }), None);
    tracker.update(RankStatus { prepared: Some(7), ..status(1, 2) }, NOW + TICK);
    assert_eq!(copying(&tracker), None);
}

/// A copy that its group or the time has overtaken must not keep the rank from another one.
#[test]
fn update_copying_overtaken() {
    let mut tracker = RankTracker::default();
    tracker.update(status(1, 2), NOW);
    tracker.mark_copying(7, NOW);
    tracker.update(status(1, 2), NOW + PREPARE_TIMEOUT);
    assert_eq!(copying(&tracker), None);
    tracker.mark_copying(8, NOW);
    tracker.update(RankStatus { epoch: 2, ..status(1, 2) }, NOW + TICK);
    assert_eq!(copying(&tracker), None);
}

/// Copies that take longer than the resend interval made the lead send the map again and again.
#[test]
fn advance_copying_rank_not_repeated() {
    let mut lead = Lead::new(0, 2, 1, 1);
    lead.begin(0, NOW);
    let term = lead.term();
    let mut reports: Reports =
        (0..2).map(|rank| (rank, (report(status(rank, 2), term), NOW))).collect();
    lead.advance(&reports, 60.0, NOW);
    let version = lead.propose(0, Arc::default(), MapSizes::default(), NOW).unwrap();
    assert_eq!(lead.advance(&reports, 60.0, NOW).len(), 2);
    reports.values_mut().for_each(|(r, _)| r.status.copying = Some(version));
    assert!(lead.advance(&reports, 60.0, NOW + RESEND_INTERVAL).is_empty());
    reports[&1].0.status.copying = None;
    let commands = lead.advance(&reports, 60.0, NOW + RESEND_INTERVAL);
    assert_eq!(commands.iter().map(|(rank, _)| *rank).collect::<Vec<_>>(), [1]);
}
