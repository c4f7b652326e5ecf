//! Lock-step groups as their agents report them: the members now and then, the state often. Without
//! I/O or clock.

use super::constants::{GROUP_RETENTION, MEMBERS_QUERY_INTERVAL};
use crate::base::name::Name;
use crate::ranks::message::{GroupPulse, GroupStatus, members_digest};
use indexmap::IndexMap;
use std::time::Duration;

#[derive(Clone, Debug)]
struct KnownGroup {
    status: GroupStatus,
    digest: u64,
    heard_at: Duration,
}

/// The groups that have been heard of within [`GROUP_RETENTION`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups {
    known: IndexMap<(Name, Name), KnownGroup>,
    /// When the members of a group were last asked for.
    asked_at: IndexMap<(Name, Name), Duration>,
}

/// What follows from a pulse.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PulseOutcome {
    /// The state of the whole group.
    Status(GroupStatus),
    /// The sender is to be asked for the members.
    AskMembers,
    /// The members are unknown and have just been asked for.
    Wait,
}

impl Groups {
    /// Takes a status with all members.
    pub(crate) fn apply_status(&mut self, status: &GroupStatus, now: Duration) {
        let digest = members_digest(&status.members);
        let known = KnownGroup { status: status.clone(), digest, heard_at: now };
        self.known.insert(status.group.clone(), known);
        self.known.retain(|_, k| now < k.heard_at + GROUP_RETENTION);
        self.asked_at.retain(|_, at| now < *at + GROUP_RETENTION);
    }

    /// Takes a status without members.
    pub(crate) fn apply_pulse(&mut self, pulse: GroupPulse, now: Duration) -> PulseOutcome {
        // Ranks other than the lead do not know all members and give no digest.
        let matches = |k: &&mut KnownGroup| pulse.members == 0 || pulse.members == k.digest;
        let Some(known) = self.known.get_mut(&pulse.group).filter(matches) else {
            let asked = self.asked_at.get(&pulse.group);
            if asked.is_some_and(|at| now < *at + MEMBERS_QUERY_INTERVAL) {
                return PulseOutcome::Wait;
            }
            self.asked_at.insert(pulse.group, now);
            return PulseOutcome::AskMembers;
        };
        known.heard_at = now;
        let status = &mut known.status;
        (status.open, status.pass_ms, status.requests) =
            (pulse.open, pulse.pass_ms, pulse.requests);
        if pulse.members != 0 {
            status.loads_ms = pulse.loads_ms;
            let mut loads = pulse.loads.into_iter();
            for member in &mut status.members {
                (member.slowdown, member.requests) = (1.0, loads.next());
            }
        }
        for (index, slowdown) in pulse.slow {
            if let Some(member) = status.members.get_mut(usize::from(index)) {
                member.slowdown = slowdown;
            }
        }
        PulseOutcome::Status(status.clone())
    }
}
