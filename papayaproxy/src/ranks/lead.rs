//! The lead of a group: brings all ranks to one map at one pass, or to none. Without I/O or clock.
//!
//! A held pass at the lead's own rank stops the whole group before it, since all ranks run each
//! pass together. The hold ends only once every rank is seen armed, or every rank is seen clean.

use super::constants::{
    ARM_LIMIT, HOLD_LIMIT, PREPARE_LIMIT, RESEND, STATE_AGE, SWITCH_AHEAD, SWITCH_STEPS,
};
use super::events;
use super::message::{ArmedMap, Command, Lists, State};
use indexmap::IndexMap;
use std::time::Duration;

/// Bits of a term that name the rank.
const TERM_RANK_BITS: u32 = 16;

/// What the lead is at.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Another rank leads.
    Following,
    /// The ranks are told who leads.
    Gathering,
    /// All ranks follow, and nothing is going on.
    Idle,
    /// The ranks copy what the map needs.
    Preparing {
        /// The map's version.
        version: u64,
        /// The map.
        map: Lists,
    },
    /// The own rank is asked to hold a pass back.
    Holding {
        /// The map's version.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// The ranks are asked to switch as the held pass begins.
    Arming {
        /// The map's version.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// All ranks are armed; the held pass may begin.
    Switching {
        /// The map's version.
        version: u64,
    },
    /// What was left half done is taken back.
    Undoing,
}

impl Phase {
    fn name(&self) -> &'static str {
        match self {
            Self::Following => "following",
            Self::Gathering => "gathering",
            Self::Idle => "idle",
            Self::Preparing { .. } => "preparing",
            Self::Holding { .. } => "holding",
            Self::Arming { .. } => "arming",
            Self::Switching { .. } => "switching",
            Self::Undoing => "undoing",
        }
    }
}

/// The ranks' states by rank, with the time of hearing.
pub(crate) type States = IndexMap<u16, (State, Duration)>;

/// One rank's side of leading its group.
#[derive(Clone, Debug)]
pub(crate) struct Lead {
    rank: u16,
    size: u16,
    epoch: u64,
    term: u64,
    phase: Phase,
    entered: Duration,
    sent: IndexMap<u16, Duration>,
}

/// The term after `seen`, of the lead at `rank`.
pub(crate) fn next_term(seen: u64, rank: u16) -> u64 {
    (((seen >> TERM_RANK_BITS) + 1) << TERM_RANK_BITS) | u64::from(rank)
}

impl Lead {
    /// A rank that follows.
    pub(crate) fn new(rank: u16, size: u16, epoch: u64) -> Self {
        Self {
            rank,
            size,
            epoch,
            term: 0,
            phase: Phase::Following,
            entered: Duration::ZERO,
            sent: IndexMap::new(),
        }
    }

    /// What it is at.
    pub(crate) fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Its term; 0 before the first.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// The epoch that it works in.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Begins to lead, with a term above `seen`.
    pub(crate) fn begin(&mut self, seen: u64, now: Duration) {
        self.term = next_term(seen.max(self.term), self.rank);
        tracing::info!(event = events::LEAD_TAKEN, epoch = self.epoch, term = self.term, "lead");
        self.enter(Phase::Gathering, now, "no lower rank is heard of");
    }

    /// Stops leading. Whoever leads next undoes what is left.
    pub(crate) fn stop(&mut self, reason: &str, now: Duration) {
        if self.phase != Phase::Following {
            tracing::info!(event = events::LEAD_LEFT, term = self.term, reason, "follow");
            self.enter(Phase::Following, now, reason);
        }
    }

    /// Starts to bring in a map. Only while idle.
    pub(crate) fn propose(&mut self, version: u64, map: Lists, now: Duration) -> bool {
        if self.phase != Phase::Idle {
            return false;
        }
        self.enter(Phase::Preparing { version, map }, now, "a plan pays");
        true
    }

    /// Works out the next commands, by rank.
    pub(crate) fn advance(
        &mut self,
        states: &States,
        pass_ms: f64,
        now: Duration,
    ) -> Vec<(u16, Command)> {
        if self.phase == Phase::Following {
            return Vec::new();
        }
        if states.values().any(|(s, _)| s.term > self.term) {
            self.stop("another rank leads", now);
            return Vec::new();
        }
        let Some(all) = self.all(states, now) else {
            return self.without_all(states, now);
        };
        let wanted = match self.phase.clone() {
            Phase::Following => Vec::new(),
            Phase::Gathering => self.gather(&all, now),
            Phase::Idle => self.look(&all, now),
            Phase::Preparing { version, map } => self.prepare(&all, version, map, pass_ms, now),
            Phase::Holding { version, step } => self.hold(&all, version, step, now),
            Phase::Arming { version, step } => self.arm(&all, version, step, now),
            Phase::Switching { version } => self.switch(&all, version, now),
            Phase::Undoing => self.undo(&all, now),
        };
        self.unsent(wanted, now)
    }

    /// The states of all ranks in order, if all of them are fresh, open and follow this lead.
    fn all<'a>(&self, states: &'a States, now: Duration) -> Option<Vec<&'a State>> {
        let fits = |rank: u16| {
            let (state, heard) = states.get(&rank)?;
            let fresh = is_fresh(*heard, now);
            let view = &state.view;
            let ours = view.epoch == self.epoch && view.open && state.term == self.term;
            (fresh && ours).then_some(state)
        };
        (0..self.size).map(fits).collect()
    }

    /// Some rank is not heard of, or does not follow yet.
    fn without_all(&mut self, states: &States, now: Duration) -> Vec<(u16, Command)> {
        match self.phase {
            Phase::Arming { .. } if now > self.entered + ARM_LIMIT => {
                self.enter(Phase::Undoing, now, "a rank is not heard of");
            }
            Phase::Holding { .. } if now > self.entered + HOLD_LIMIT => {
                self.enter(Phase::Undoing, now, "a rank is not heard of");
            }
            Phase::Preparing { .. } if now > self.entered + PREPARE_LIMIT => {
                self.enter(Phase::Gathering, now, "a rank is not heard of");
            }
            _ => {}
        }
        let strange = |rank: &u16| states.get(rank).is_none_or(|(s, _)| s.term != self.term);
        let wanted = (0..self.size).filter(strange).map(|r| (r, Command::Follow)).collect();
        self.unsent(wanted, now)
    }

    fn gather(&mut self, all: &[&State], now: Duration) -> Vec<(u16, Command)> {
        let clean = all.iter().all(|s| s.view.armed.is_none() && s.view.held.is_none());
        let next = if clean { Phase::Idle } else { Phase::Undoing };
        self.enter(next, now, "all ranks follow");
        Vec::new()
    }

    fn look(&mut self, all: &[&State], now: Duration) -> Vec<(u16, Command)> {
        if all.iter().any(|s| s.view.armed.is_some() || s.view.held.is_some()) {
            self.enter(Phase::Undoing, now, "an order took effect late");
        }
        Vec::new()
    }

    fn prepare(
        &mut self,
        all: &[&State],
        version: u64,
        map: Lists,
        pass_ms: f64,
        now: Duration,
    ) -> Vec<(u16, Command)> {
        if all.iter().all(|s| s.view.prepared == Some(version)) {
            // A group without work makes no passes, however long it is given.
            let ahead = match pass_ms > 0.0 {
                true => (SWITCH_AHEAD.as_secs_f64() * 1000.0 / pass_ms).ceil() as u64,
                false => 0,
            };
            let step = all.iter().map(|s| s.view.step).max().unwrap_or_default();
            let step = step + ahead.max(SWITCH_STEPS);
            self.enter(Phase::Holding { version, step }, now, "all ranks have prepared");
            return vec![(self.rank, Command::Hold { step })];
        }
        if now > self.entered + PREPARE_LIMIT {
            self.enter(Phase::Idle, now, "a rank does not prepare");
            return Vec::new();
        }
        // The map is large, so that it is only copied for a rank that is told now.
        let missing = |(rank, s): &(u16, &&State)| {
            s.view.prepared != Some(version) && !s.view.busy && self.is_due(*rank, now)
        };
        let command = |(rank, _)| (rank, Command::Prepare { version, map: map.clone() });
        (0..).zip(all).filter(missing).map(command).collect()
    }

    fn hold(
        &mut self,
        all: &[&State],
        version: u64,
        step: u64,
        now: Duration,
    ) -> Vec<(u16, Command)> {
        if all[usize::from(self.rank)].view.held == Some(step) {
            self.enter(Phase::Arming { version, step }, now, "the pass is held");
            return Vec::new();
        }
        if now > self.entered + HOLD_LIMIT {
            self.enter(Phase::Undoing, now, "the pass is not held");
            return Vec::new();
        }
        vec![(self.rank, Command::Hold { step })]
    }

    fn arm(
        &mut self,
        all: &[&State],
        version: u64,
        step: u64,
        now: Duration,
    ) -> Vec<(u16, Command)> {
        if all[usize::from(self.rank)].view.held != Some(step) {
            self.enter(Phase::Undoing, now, "the hold is gone");
            return Vec::new();
        }
        if all.iter().all(|s| is_armed(s, version, step)) {
            self.enter(Phase::Switching { version }, now, "all ranks are armed");
            return vec![(self.rank, Command::Go { step })];
        }
        if now > self.entered + ARM_LIMIT {
            self.enter(Phase::Undoing, now, "a rank is not armed");
            return Vec::new();
        }
        let missing = |(_, s): &(u16, &&State)| !is_armed(s, version, step);
        let command = |(rank, _)| (rank, Command::Arm { version, step });
        (0..).zip(all).filter(missing).map(command).collect()
    }

    fn switch(&mut self, all: &[&State], version: u64, now: Duration) -> Vec<(u16, Command)> {
        if all.iter().all(|s| s.view.version == version) {
            self.enter(Phase::Idle, now, "all ranks have switched");
            return Vec::new();
        }
        release(all)
    }

    /// Lets the group go only with all ranks armed alike, or with none armed and none in doubt.
    fn undo(&mut self, all: &[&State], now: Duration) -> Vec<(u16, Command)> {
        let armed: Vec<(u16, ArmedMap)> =
            (0..).zip(all).filter_map(|(r, s)| s.view.armed.map(|a| (r, a))).collect();
        let held = all.iter().any(|s| s.view.held.is_some());
        if armed.is_empty() && !held {
            self.enter(Phase::Idle, now, "nothing is left to undo");
            return Vec::new();
        }
        let alike = armed.len() == all.len() && armed.iter().all(|(_, a)| *a == armed[0].1);
        if alike {
            // A rank that is in doubt is armed with this map all the same.
            return release(all);
        }
        let own = &all[usize::from(self.rank)].view;
        if own.held.is_none() && !armed.is_empty() {
            let steps = armed.iter().filter_map(|(_, a)| a.step);
            let holds = all.iter().filter_map(|s| s.view.held);
            let step = steps.chain(holds).min().unwrap_or(own.step + 1);
            return vec![(self.rank, Command::Hold { step })];
        }
        if !armed.is_empty() {
            let disarm =
                |(rank, a): (u16, ArmedMap)| (rank, Command::Disarm { version: a.version });
            return armed.into_iter().map(disarm).collect();
        }
        // The own hold goes last, so that no late order can arm a rank meanwhile.
        let others = |(rank, _): &(u16, &&State)| *rank != self.rank;
        let mut wanted: Vec<(u16, Command)> = Vec::new();
        for (rank, state) in (0..).zip(all).filter(others) {
            match state.view.held {
                Some(step) => wanted.push((rank, Command::Go { step })),
                None if state.doubt => wanted.push((rank, Command::Settle)),
                None => {}
            }
        }
        if wanted.is_empty() {
            wanted.extend(own.held.map(|step| (self.rank, Command::Go { step })));
        }
        wanted
    }

    /// Leaves out what was sent a moment ago.
    fn unsent(&mut self, wanted: Vec<(u16, Command)>, now: Duration) -> Vec<(u16, Command)> {
        let mut due = Vec::with_capacity(wanted.len());
        for (rank, command) in wanted {
            if self.is_due(rank, now) {
                self.sent.insert(rank, now);
                due.push((rank, command));
            }
        }
        due
    }

    fn is_due(&self, rank: u16, now: Duration) -> bool {
        self.sent.get(&rank).is_none_or(|at| now >= *at + RESEND)
    }

    fn enter(&mut self, phase: Phase, now: Duration, reason: &str) {
        let (version, step) = match &phase {
            Phase::Preparing { version, .. } | Phase::Switching { version } => {
                (Some(*version), None)
            }
            Phase::Holding { version, step } | Phase::Arming { version, step } => {
                (Some(*version), Some(*step))
            }
            _ => (None, None),
        };
        let (event, phase_name) = (events::PHASE_CHANGED, phase.name());
        tracing::info!(event, phase = phase_name, version, step, reason, "phase");
        if phase == Phase::Undoing {
            // Only what a rank says under a new term is known to be later than the last command,
            // since a datagram may be late; and no earlier command is obeyed after it.
            self.term = next_term(self.term, self.rank);
        }
        self.phase = phase;
        self.entered = now;
        self.sent.clear();
    }
}

/// Whether a state heard at `heard` still counts.
pub(crate) fn is_fresh(heard: Duration, now: Duration) -> bool {
    now.saturating_sub(heard) <= STATE_AGE
}

fn is_armed(state: &State, version: u64, step: u64) -> bool {
    let same = |a: ArmedMap| a.version == version && a.step.is_none_or(|s| s == step);
    state.view.armed.is_some_and(same)
}

/// Lets every held pass begin.
fn release(all: &[&State]) -> Vec<(u16, Command)> {
    let held = (0..).zip(all).filter_map(|(rank, s)| s.view.held.map(|step| (rank, step)));
    held.map(|(rank, step)| (rank, Command::Go { step })).collect()
}
