//! The lead of a lock-step group: all ranks switch to one map at the same pass, or none does.
//! Without I/O or clock.
//!
//! A pass held at the lead's own rank blocks the whole group, since all ranks run each pass
//! together. The lead releases it only when all ranks report the same map as armed, or when no rank
//! is armed and no unanswered order can arm one any more. A rank with an unanswered order prepares its
//! present experts under a higher version first: replicas may count no orders, and carry out late ones
//! as long as they fit.

use super::constants::{
    ARM_TIMEOUT, HOLD_TIMEOUT, MAP_BYTES_UNCONFIRMED, PREPARE_TIMEOUT, REPORT_MAX_AGE,
    RESEND_INTERVAL, SWITCH_DELAY, SWITCH_DELAY_FACTOR, SWITCH_DELAY_MIN, SWITCH_DELAY_WEIGHT,
    SWITCH_MIN_STEPS,
};
use super::events;
use super::message::{AgentReport, ArmedMap, Command, ExpertLists};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Low bits of a term that hold the lead's rank.
const TERM_RANK_BITS: u32 = 16;
/// Low bits of a version that hold the lead's identity, so that two leads never propose two maps under one
/// version.
const VERSION_LEAD_BITS: u32 = 32;

/// Progress of the agreement on a map.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Another rank leads.
    Following,
    /// The ranks are asked to follow this lead.
    Gathering,
    /// All ranks follow, and no switch is in progress.
    Idle,
    /// The ranks copy the experts that the map adds.
    Preparing {
        /// The map's version.
        version: u64,
        /// The map.
        map: Arc<ExpertLists>,
    },
    /// The lead's own rank is asked to hold back a pass.
    Holding {
        /// The map's version.
        version: u64,
        /// The number of the pass.
        step: u64,
    },
    /// The ranks are asked to arm the map for the held pass.
    Arming {
        /// The map's version.
        version: u64,
        /// The number of the pass.
        step: u64,
    },
    /// All ranks are armed, and the held pass is released.
    Switching {
        /// The map's version.
        version: u64,
    },
    /// An incomplete switch is undone or, if all ranks are armed alike, completed.
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

/// Bytes that a map takes on its way to one rank.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MapSizes {
    /// As changes against the map in use.
    pub(crate) changes: usize,
    /// As a whole.
    pub(crate) whole: usize,
}

/// The latest report of each rank, with the time of its receipt.
pub(crate) type Reports = IndexMap<u16, (AgentReport, Duration)>;

/// State machine that leads a group from one of its ranks.
#[derive(Clone, Debug)]
pub(crate) struct Lead {
    pub(super) rank: u16,
    size: u16,
    epoch: u64,
    /// Random, since an agent that starts again does not know what it proposed before.
    identity: u32,
    term: u64,
    phase: Phase,
    entered_at: Duration,
    sent_at: IndexMap<u16, Duration>,
    /// Commands sent in this phase, and those of them to a rank that had been sent one.
    commands: u32,
    repeats: u32,
    /// Highest version proposed.
    last_version: u64,
    /// Version that supersedes what unanswered orders may still arm, in this phase.
    pub(super) superseding: Option<u64>,
    /// Usual time from the order to hold until all ranks are armed.
    arm_time: Duration,
    hold_at: Duration,
    /// The last pass that this lead held.
    held_step: u64,
    /// Sizes of the map that is being prepared.
    sizes: MapSizes,
}

/// The next term above `seen` for a lead at `rank`.
pub(crate) fn next_term(seen: u64, rank: u16) -> u64 {
    (((seen >> TERM_RANK_BITS) + 1) << TERM_RANK_BITS) | u64::from(rank)
}

impl Lead {
    /// A rank that does not lead.
    pub(crate) fn new(rank: u16, size: u16, epoch: u64, identity: u32) -> Self {
        Self {
            rank,
            size,
            epoch,
            identity,
            term: 0,
            phase: Phase::Following,
            entered_at: Duration::ZERO,
            sent_at: IndexMap::new(),
            commands: 0,
            repeats: 0,
            last_version: 0,
            superseding: None,
            arm_time: SWITCH_DELAY.div_f64(SWITCH_DELAY_FACTOR),
            hold_at: Duration::ZERO,
            held_step: 0,
            sizes: MapSizes::default(),
        }
    }

    /// The current phase.
    pub(crate) fn phase(&self) -> &Phase {
        &self.phase
    }

    /// The lead's term; 0 before the first.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// The group's epoch that this state belongs to.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Starts to lead with a term above `seen`.
    pub(crate) fn begin(&mut self, seen: u64, now: Duration) {
        self.term = next_term(seen.max(self.term), self.rank);
        tracing::info!(
            event = events::LEAD_TAKEN,
            epoch = self.epoch,
            term = self.term,
            "became lead"
        );
        self.enter(Phase::Gathering, now, "no lower rank is heard of");
    }

    /// Stops leading. The next lead undoes an incomplete switch.
    pub(crate) fn stop(&mut self, reason: &str, now: Duration) {
        if self.phase != Phase::Following {
            tracing::info!(event = events::LEAD_LEFT, term = self.term, reason, "stopped leading");
            self.enter(Phase::Following, now, reason);
        }
    }

    /// Starts the switch to a map, and returns its version; `None` unless idle. `seen` is the highest
    /// version that any rank has had.
    pub(crate) fn propose(
        &mut self,
        seen: u64,
        map: Arc<ExpertLists>,
        sizes: MapSizes,
        now: Duration,
    ) -> Option<u64> {
        if self.phase != Phase::Idle {
            return None;
        }
        let version = self.next_version(seen);
        self.sizes = sizes;
        self.enter(Phase::Preparing { version, map }, now, "a plan pays");
        Some(version)
    }

    /// A version above all that this lead has given out and above `seen`.
    pub(super) fn next_version(&mut self, seen: u64) -> u64 {
        let number = (seen.max(self.last_version) >> VERSION_LEAD_BITS) + 1;
        self.last_version = (number << VERSION_LEAD_BITS) | u64::from(self.identity);
        self.last_version
    }

    /// Gives up a map that is being prepared.
    pub(crate) fn abandon(&mut self, reason: &str, now: Duration) {
        if matches!(self.phase, Phase::Preparing { .. }) {
            self.enter(Phase::Idle, now, reason);
        }
    }

    /// Time from the end of preparation to the pass at which the ranks switch.
    fn switch_delay(&self) -> Duration {
        self.arm_time.mul_f64(SWITCH_DELAY_FACTOR).clamp(SWITCH_DELAY_MIN, SWITCH_DELAY)
    }

    /// Advances the phase and returns the commands to send, with the rank that each is for.
    pub(crate) fn advance(
        &mut self,
        reports: &Reports,
        pass_ms: f64,
        now: Duration,
    ) -> Vec<(u16, Command)> {
        if self.phase == Phase::Following {
            return Vec::new();
        }
        if reports.values().any(|(r, _)| r.term > self.term) {
            self.stop("another rank leads", now);
            return Vec::new();
        }
        let Some(reports) = self.complete_reports(reports, now) else {
            return self.await_ranks(reports, now);
        };
        let commands = match self.phase.clone() {
            Phase::Following => Vec::new(),
            Phase::Gathering => self.gather(&reports, now),
            Phase::Idle => self.check_idle(&reports, now),
            Phase::Preparing { version, map } => self.prepare(&reports, version, map, pass_ms, now),
            Phase::Holding { version, step } => self.hold(&reports, version, step, now),
            Phase::Arming { version, step } => self.arm(&reports, version, step, now),
            Phase::Switching { version } => self.switch(&reports, version, now),
            Phase::Undoing => self.undo(&reports, now),
        };
        self.due_commands(commands, now)
    }

    /// The reports of all ranks in order, if all are fresh, in an open group and follow this lead.
    fn complete_reports<'a>(
        &self,
        reports: &'a Reports,
        now: Duration,
    ) -> Option<Vec<&'a AgentReport>> {
        let ready = |rank: u16| {
            let (report, heard) = reports.get(&rank)?;
            let fresh = is_fresh(*heard, now);
            let status = &report.status;
            let follows = status.epoch == self.epoch && status.open && report.term == self.term;
            (fresh && follows).then_some(report)
        };
        (0..self.size).map(ready).collect()
    }

    /// Handles timeouts while a report is missing, and asks ranks of another term to follow.
    fn await_ranks(&mut self, reports: &Reports, now: Duration) -> Vec<(u16, Command)> {
        match self.phase {
            Phase::Arming { .. } if now > self.entered_at + ARM_TIMEOUT => {
                self.enter(Phase::Undoing, now, "a rank is not heard of");
            }
            Phase::Holding { .. } if now > self.entered_at + HOLD_TIMEOUT => {
                self.enter(Phase::Undoing, now, "a rank is not heard of");
            }
            Phase::Preparing { .. } if now > self.entered_at + PREPARE_TIMEOUT => {
                self.enter(Phase::Gathering, now, "a rank is not heard of");
            }
            _ => {}
        }
        let not_following = |rank: &u16| reports.get(rank).is_none_or(|(r, _)| r.term != self.term);
        let commands =
            (0..self.size).filter(not_following).map(|rank| (rank, Command::Follow)).collect();
        self.due_commands(commands, now)
    }

    fn gather(&mut self, reports: &[&AgentReport], now: Duration) -> Vec<(u16, Command)> {
        let clean = reports.iter().all(|r| r.status.armed.is_none() && r.status.held.is_none());
        let next = if clean { Phase::Idle } else { Phase::Undoing };
        self.enter(next, now, "all ranks follow");
        Vec::new()
    }

    fn check_idle(&mut self, reports: &[&AgentReport], now: Duration) -> Vec<(u16, Command)> {
        if reports.iter().any(|r| r.status.armed.is_some() || r.status.held.is_some()) {
            self.enter(Phase::Undoing, now, "an order took effect late");
        }
        Vec::new()
    }

    fn prepare(
        &mut self,
        reports: &[&AgentReport],
        version: u64,
        map: Arc<ExpertLists>,
        pass_ms: f64,
        now: Duration,
    ) -> Vec<(u16, Command)> {
        if reports.iter().all(|r| r.status.prepared == Some(version)) {
            // A group without requests runs no passes, so the minimum distance applies.
            let ahead = match pass_ms > 0.0 {
                true => (self.switch_delay().as_secs_f64() * 1000.0 / pass_ms).ceil() as u64,
                false => 0,
            };
            let step = reports.iter().map(|r| r.status.step).max().unwrap_or_default();
            // An unanswered order to release a pass must not fit a later hold: without requests the last
            // pass that was held has not begun yet.
            let step = step.saturating_add(ahead.max(SWITCH_MIN_STEPS));
            let step = step.max(self.held_step.saturating_add(1));
            (self.hold_at, self.held_step) = (now, step);
            self.enter(Phase::Holding { version, step }, now, "all ranks have prepared");
            return vec![(self.rank, Command::Hold { step })];
        }
        if now > self.entered_at + PREPARE_TIMEOUT {
            self.enter(Phase::Idle, now, "a rank does not prepare");
            return Vec::new();
        }
        let ranks = self.ranks_to_send(reports, version, now).into_iter();
        ranks.map(|rank| (rank, Command::Prepare { version, map: map.clone() })).collect()
    }

    /// Ranks that the map is sent to now. What is on its way is bounded: more than the link carries would
    /// delay or drop the lead's reports, and another rank would take over.
    fn ranks_to_send(&self, reports: &[&AgentReport], version: u64, now: Duration) -> Vec<u16> {
        let lacks = |(_, r): &(u16, &&AgentReport)| r.status.lacks(version) && !r.status.busy;
        let size = |(rank, r): &(u16, &&AgentReport)| {
            let is_remote = *rank != self.rank;
            usize::from(is_remote) * if r.wants_map { self.sizes.whole } else { self.sizes.changes }
        };
        let (mut due, sent): (Vec<_>, Vec<_>) =
            (0..).zip(reports).filter(lacks).partition(|(rank, _)| self.is_due(*rank, now));
        // Ranks that were sent nothing go first: one that does not confirm may be cut off.
        due.sort_by_key(|(rank, _)| self.sent_at.get(rank).copied());
        let mut bytes: usize = sent.iter().map(size).sum();
        let mut ranks = Vec::new();
        for rank in due {
            let is_full = bytes > 0 && bytes + size(&rank) > MAP_BYTES_UNCONFIRMED;
            if is_full {
                break;
            }
            bytes += size(&rank);
            ranks.push(rank.0);
        }
        ranks
    }

    fn hold(
        &mut self,
        reports: &[&AgentReport],
        version: u64,
        step: u64,
        now: Duration,
    ) -> Vec<(u16, Command)> {
        if reports[usize::from(self.rank)].status.held == Some(step) {
            self.enter(Phase::Arming { version, step }, now, "the pass is held");
            return Vec::new();
        }
        if now > self.entered_at + HOLD_TIMEOUT {
            self.enter(Phase::Undoing, now, "the pass is not held");
            return Vec::new();
        }
        vec![(self.rank, Command::Hold { step })]
    }

    fn arm(
        &mut self,
        reports: &[&AgentReport],
        version: u64,
        step: u64,
        now: Duration,
    ) -> Vec<(u16, Command)> {
        if reports[usize::from(self.rank)].status.held != Some(step) {
            self.enter(Phase::Undoing, now, "the hold is gone");
            return Vec::new();
        }
        if reports.iter().all(|r| is_armed(r, version, step)) {
            let took = now.saturating_sub(self.hold_at);
            self.arm_time = self.arm_time.mul_f64(1.0 - SWITCH_DELAY_WEIGHT)
                + took.mul_f64(SWITCH_DELAY_WEIGHT);
            self.enter(Phase::Switching { version }, now, "all ranks are armed");
            return vec![(self.rank, Command::Go { step })];
        }
        if now > self.entered_at + ARM_TIMEOUT {
            self.enter(Phase::Undoing, now, "a rank is not armed");
            return Vec::new();
        }
        let missing = |(_, r): &(u16, &&AgentReport)| !is_armed(r, version, step);
        let command = |(rank, _)| (rank, Command::Arm { version, step });
        (0..).zip(reports).filter(missing).map(command).collect()
    }

    fn switch(
        &mut self,
        reports: &[&AgentReport],
        version: u64,
        now: Duration,
    ) -> Vec<(u16, Command)> {
        if reports.iter().all(|r| r.status.version == version) {
            self.enter(Phase::Idle, now, "all ranks have switched");
            return Vec::new();
        }
        release(reports)
    }

    /// Drops commands to ranks that were sent one within [`RESEND_INTERVAL`], and records the rest.
    fn due_commands(
        &mut self,
        commands: Vec<(u16, Command)>,
        now: Duration,
    ) -> Vec<(u16, Command)> {
        let mut due = Vec::with_capacity(commands.len());
        for (rank, command) in commands {
            if self.is_due(rank, now) {
                let is_repeat = self.sent_at.insert(rank, now).is_some();
                self.commands += 1;
                self.repeats += u32::from(is_repeat);
                due.push((rank, command));
            }
        }
        due
    }

    fn is_due(&self, rank: u16, now: Duration) -> bool {
        self.sent_at.get(&rank).is_none_or(|at| now >= *at + RESEND_INTERVAL)
    }

    pub(super) fn enter(&mut self, phase: Phase, now: Duration, reason: &str) {
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
        let took_ms = now.saturating_sub(self.entered_at).as_millis() as u64;
        let (commands, repeats) = (self.commands, self.repeats);
        tracing::info!(
            event,
            phase = phase_name,
            version,
            step,
            reason,
            took_ms,
            commands,
            repeats,
            "phase changed"
        );
        (self.commands, self.repeats) = (0, 0);
        if phase == Phase::Undoing {
            // Datagrams may arrive late: only a report with the new term is known to be later than
            // the last command, and a rank that reports it ignores all earlier commands.
            self.term = next_term(self.term, self.rank);
        }
        self.superseding = None;
        self.phase = phase;
        self.entered_at = now;
        self.sent_at.clear();
    }
}

/// Whether a report received at `heard` still counts.
pub(crate) fn is_fresh(heard: Duration, now: Duration) -> bool {
    now.saturating_sub(heard) <= REPORT_MAX_AGE
}

fn is_armed(report: &AgentReport, version: u64, step: u64) -> bool {
    let same = |a: ArmedMap| a.version == version && a.step.is_none_or(|at| at == step);
    report.status.armed.is_some_and(same)
}

/// Commands that release every held pass.
pub(super) fn release(reports: &[&AgentReport]) -> Vec<(u16, Command)> {
    let held = (0..).zip(reports).filter_map(|(rank, r)| r.status.held.map(|step| (rank, step)));
    held.map(|(rank, step)| (rank, Command::Go { step })).collect()
}
