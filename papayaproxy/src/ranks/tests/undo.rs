//! How a lead undoes a switch that is left half done, and the versions that it gives out.

use super::maps::status;
use super::rank::report;
use crate::ranks::constants::HOLD_TIMEOUT;
use crate::ranks::lead::{Lead, MapSizes, Phase, Reports};
use crate::ranks::message::{Command, RankStatus};
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);
const STEP: u64 = 40;

/// The lead of two ranks that finds its own rank holding a pass, with the reports that follow it.
fn undoing() -> (Lead, Reports) {
    let mut lead = Lead::new(0, 2, 1, 1);
    lead.begin(0, NOW);
    let mut reports: Reports =
        (0..2).map(|rank| (rank, (report(status(rank, 2), lead.term()), NOW))).collect();
    reports[&0].0.status.held = Some(STEP);
    lead.advance(&reports, 0.0, NOW);
    assert_eq!(*lead.phase(), Phase::Undoing);
    reports.values_mut().for_each(|(r, _)| r.term = lead.term());
    (lead, reports)
}

/// In a group without requests a released pass does not begin, and an order to the lead's own rank still
/// armed it alone.
#[test]
fn undo_own_order_unanswered_superseded() {
    let (mut lead, mut reports) = undoing();
    reports[&0].0.order_uncertain = true;
    let commands = lead.advance(&reports, 0.0, NOW);
    let [(0, Command::Supersede { version })] = commands[..] else { panic!("{commands:?}") };
    let RankStatus { version: in_use, .. } = reports[&0].0.status;
    assert!(version > in_use);
    reports[&0].0.status.prepared = Some(version);
    let commands = lead.advance(&reports, 0.0, NOW + Duration::from_secs(1));
    assert_eq!(commands, [(0, Command::Go { step: STEP })]);
}

/// A lead that had started again gave another map the version of one whose preparation was still under way.
#[test]
fn propose_lead_restarted_other_version() {
    let propose = |identity| {
        let mut lead = Lead::new(0, 2, 1, identity);
        lead.begin(0, NOW);
        let reports: Reports =
            (0..2).map(|rank| (rank, (report(status(rank, 2), lead.term()), NOW))).collect();
        lead.advance(&reports, 0.0, NOW);
        lead.propose(7, Arc::default(), MapSizes::default(), NOW).unwrap()
    };
    let (before, after) = (propose(1), propose(2));
    assert!(before != after && before.min(after) > 7, "{before} and {after}");
}

/// An order to release a pass that is carried out late must not release a later hold, while only some ranks
/// are armed.
#[test]
fn advance_second_switch_other_pass() {
    let mut lead = Lead::new(0, 2, 1, 1);
    lead.begin(0, NOW);
    let mut reports: Reports =
        (0..2).map(|rank| (rank, (report(status(rank, 2), lead.term()), NOW))).collect();
    let mut held = || {
        lead.advance(&reports, 0.0, NOW);
        let version = lead.propose(0, Arc::default(), MapSizes::default(), NOW).unwrap();
        reports.values_mut().for_each(|(r, _)| r.status.prepared = Some(version));
        let commands = lead.advance(&reports, 0.0, NOW);
        let [(0, Command::Hold { step })] = commands[..] else { panic!("{commands:?}") };
        // The hold is not seen in time, and nothing is left to undo.
        let late = NOW + HOLD_TIMEOUT * 2;
        reports.values_mut().for_each(|(_, at)| *at = late);
        lead.advance(&reports, 0.0, late);
        reports.values_mut().for_each(|(r, _)| r.term = lead.term());
        lead.advance(&reports, 0.0, late);
        step
    };
    let (first, second) = (held(), held());
    assert!(first < second, "{first} and {second}");
}
