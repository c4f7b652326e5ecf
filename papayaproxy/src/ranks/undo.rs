//! How a lead undoes a switch that is left half done.

use super::lead::{Lead, Phase, release};
use super::message::{AgentReport, ArmedMap, Command};
use std::time::Duration;

impl Lead {
    /// Releases the group only when all ranks are armed alike, or when none is armed and no unanswered
    /// order can arm one any more.
    pub(super) fn undo(&mut self, reports: &[&AgentReport], now: Duration) -> Vec<(u16, Command)> {
        let armed: Vec<(u16, ArmedMap)> =
            (0..).zip(reports).filter_map(|(rank, r)| r.status.armed.map(|a| (rank, a))).collect();
        let held = reports.iter().any(|r| r.status.held.is_some());
        if armed.is_empty() && !held {
            self.enter(Phase::Idle, now, "nothing is left to undo");
            return Vec::new();
        }
        let same_map = armed.len() == reports.len() && armed.iter().all(|(_, a)| *a == armed[0].1);
        if same_map {
            // An unanswered order changes nothing here: its rank is armed with the same map.
            return release(reports);
        }
        let own = &reports[usize::from(self.rank)].status;
        if own.held.is_none() && !armed.is_empty() {
            let steps = armed.iter().filter_map(|(_, a)| a.step);
            let holds = reports.iter().filter_map(|r| r.status.held);
            let step = steps.chain(holds).min().unwrap_or(own.step.saturating_add(1));
            return vec![(self.rank, Command::Hold { step })];
        }
        if !armed.is_empty() {
            let disarm =
                |(rank, a): (u16, ArmedMap)| (rank, Command::Disarm { version: a.version });
            return armed.into_iter().map(disarm).collect();
        }
        // While the group is held, a rank that an order arms late is seen and disarmed. The lead's own rank
        // is no exception: the group may have no requests, and the pass then does not begin at once.
        let version = self.superseding_version(reports);
        let may_arm =
            |(_, r): &(u16, &&AgentReport)| r.order_uncertain && r.status.prepared < Some(version);
        let doubtful = (0..).zip(reports).filter(may_arm);
        let supersede: Vec<(u16, Command)> =
            doubtful.map(|(rank, _)| (rank, Command::Supersede { version })).collect();
        if !supersede.is_empty() {
            return supersede;
        }
        // The lead's own hold is released last.
        let (own, others): (Vec<_>, Vec<_>) =
            release(reports).into_iter().partition(|(rank, _)| *rank == self.rank);
        if others.is_empty() { own } else { others }
    }

    /// The version under which ranks with an unanswered order prepare their present experts.
    fn superseding_version(&mut self, reports: &[&AgentReport]) -> u64 {
        if let Some(version) = self.superseding {
            return version;
        }
        let seen = reports.iter().map(|r| r.status.last_version()).max();
        let version = self.next_version(seen.unwrap_or_default());
        *self.superseding.insert(version)
    }
}
