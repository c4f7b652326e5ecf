//! How faults come and go in a run, and how entries notice.

use super::constants::{ENGINES, ENTRIES, MISSED_AFTER, PLAIN, REPORT_EVERY, SLOTS};
use super::faults::FaultKind;
use super::figures::Ending;
use super::fleet::{RANKS, zone_of};
use super::world::{Event, World};
use papayaproxy::Name;
use papayaproxy::routing::{AttemptOutcome, Candidates, Presence};
use std::sync::Arc;

impl World<'_> {
    pub(super) fn fault(&mut self, index: usize, on: bool) {
        match self.plan.faults[index].kind {
            FaultKind::Stall(engine) => {
                self.engines[engine].stalled = on;
                self.kick(engine);
            }
            FaultKind::Errors(engine) => self.engines[engine].failing = on,
            FaultKind::Straggler => {
                let ranks = &mut self.engines[ENGINES - RANKS..];
                ranks.iter_mut().for_each(|e| e.drag = if on { 2.5 } else { 1.0 });
            }
            FaultKind::Freeze => self.frozen = on,
            FaultKind::Cut => {
                self.cut = on;
                let wait = if on { MISSED_AFTER } else { REPORT_EVERY };
                self.push(self.now + wait, Event::Missed);
            }
        }
    }

    /// Entries notice which upstreams and entries they reach.
    pub(super) fn missed(&mut self) {
        for index in 0..ENTRIES {
            let reach: Vec<bool> = (0..ENGINES + PLAIN).map(|u| self.reaches(index, u)).collect();
            let peers = (0..ENTRIES).filter(|&e| self.reaches(index, e)).count();
            let names: Vec<Name> = self.document.upstreams.keys().cloned().collect();
            let live = |name: &Name| {
                let found = names.iter().position(|n| n == name);
                Presence { live: found.is_some_and(|i| reach[i]), incarnation: None }
            };
            let next = Candidates::prepare(&self.document, &zone_of(index), live);
            let slots = reach[..ENGINES].iter().filter(|r| **r).count() as u32 * SLOTS;
            let entry = &mut self.entries[index];
            entry.picture.router.set_candidates(Arc::new(next), self.now);
            entry.picture.seen.iter_mut().zip(&reach).for_each(|(s, r)| s.live = *r);
            entry.picture.router.set_live_entries(peers as u32);
            entry.share.observe(peers as u32, self.now);
            entry.resize(slots);
        }
        self.fail_unreachable();
    }

    pub(super) fn fail_unreachable(&mut self) {
        for job in 0..self.jobs.len() {
            let state = &self.jobs[job];
            let sent = state.attempt > 0 && !state.ended;
            if sent && !self.reaches(self.arrival(job).entry, state.upstream) {
                self.settle(job, AttemptOutcome::Failed);
                self.retry(job, Ending::Lost);
            }
        }
    }
}
