//! Pulses of lock-step groups, whose members are sent now and then.

use crate::peers::constants::MEMBERS_QUERY_INTERVAL;
use crate::peers::groups::{Groups, PulseOutcome};
use crate::ranks::message::{GroupMember, GroupPulse, GroupStatus, members_digest};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(5);

fn status(members: u16) -> GroupStatus {
    let member = |i: u16| GroupMember {
        address: format!("10.0.1.1:{}", 8000 + i).parse().unwrap(),
        slowdown: 1.0,
        requests: Some(3),
    };
    GroupStatus {
        group: ("llm".into(), "g0".into()),
        open: true,
        pass_ms: 60.0,
        requests: 3.0,
        loads_ms: 0,
        members: (0..members).map(member).collect(),
    }
}

fn pulse(members: u64) -> GroupPulse {
    GroupPulse {
        group: ("llm".into(), "g0".into()),
        members,
        open: false,
        pass_ms: 80.0,
        requests: 5.0,
        slow: vec![(2, 4.0), (900, 2.0)],
        loads: vec![4, 2],
        loads_ms: 50,
    }
}

/// An entry that has just started knows no members: it asks once, not at each pulse.
#[test]
fn apply_pulse_members_unknown_asked_once() {
    let mut groups = Groups::default();
    assert_eq!(groups.apply_pulse(pulse(7), NOW), PulseOutcome::AskMembers);
    assert_eq!(groups.apply_pulse(pulse(7), NOW), PulseOutcome::Wait);
    let later = NOW + MEMBERS_QUERY_INTERVAL;
    assert_eq!(groups.apply_pulse(pulse(7), later), PulseOutcome::AskMembers);
}

/// A pulse updates the state of all members; a position that no member has is ignored.
#[test]
fn apply_pulse_known_members_updated() {
    let mut groups = Groups::default();
    groups.apply_status(&status(4), NOW);
    let digest = members_digest(&status(4).members);
    let PulseOutcome::Status(updated) = groups.apply_pulse(pulse(digest), NOW) else {
        panic!("members are known")
    };
    assert!(!updated.open && updated.requests == 5.0 && updated.pass_ms == 80.0);
    let slowdowns: Vec<f32> = updated.members.iter().map(|m| m.slowdown).collect();
    assert_eq!(slowdowns, vec![1.0, 1.0, 4.0, 1.0]);
}

/// The group has formed with other members: the old ones say nothing of its state.
#[test]
fn apply_pulse_other_members_asked() {
    let mut groups = Groups::default();
    groups.apply_status(&status(4), NOW);
    let digest = members_digest(&status(5).members);
    assert_eq!(groups.apply_pulse(pulse(digest), NOW), PulseOutcome::AskMembers);
}

/// A rank that does not lead knows not all members, and gives no digest.
#[test]
fn apply_pulse_of_other_rank_known_members() {
    let mut groups = Groups::default();
    groups.apply_status(&status(4), NOW);
    assert!(matches!(groups.apply_pulse(pulse(0), NOW), PulseOutcome::Status(s) if !s.open));
}
