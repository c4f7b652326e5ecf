//! What is known of one other process.

use super::constants::{DEAD_BEATS, RECOVER_BEATS, SUSPECT_BEATS};
use super::report::LoadedModel;
use super::row::{Process, ProcessState, ProcessUpdate, Row};
use std::time::Duration;

/// Whether a process is held to be running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Liveness {
    /// Its beats arrive.
    #[default]
    Live,
    /// Some of its beats are missing.
    Suspected,
    /// Many of its beats are missing.
    Dead,
}

/// Which way the last beat of a process came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Path {
    /// From itself.
    Direct,
    /// From an entry of another zone.
    Remote,
    /// From an entry of the own grid row.
    GridRow,
    /// From any other peer.
    Other,
}

/// One other process.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) process: Process,
    pub(crate) pulse: ProcessUpdate,
    pub(crate) loaded: Vec<LoadedModel>,
    pub(crate) liveness: Liveness,
    pub(crate) path: Path,
    /// When its beat last rose.
    pub(crate) heard: Duration,
    /// When its load last changed its sequence.
    pub(crate) reported: Duration,
    /// Whether its beat rose since rows were last sent.
    pub(crate) fresh: bool,
    /// Whether it was fully described since rows were last sent.
    pub(crate) portrayed: bool,
    /// Since when it has left this process' beats without an answer.
    pub(crate) unanswered: Option<Duration>,
    /// Beats since it was suspected.
    streak: u8,
}

impl Peer {
    /// A process that is heard of for the first time.
    pub(crate) fn new(portrait: ProcessState, path: Path, now: Duration) -> Self {
        Self {
            process: portrait.process,
            pulse: portrait.pulse,
            loaded: portrait.loaded,
            liveness: Liveness::Live,
            path,
            heard: now,
            reported: now,
            fresh: true,
            portrayed: true,
            unanswered: None,
            streak: 0,
        }
    }

    /// Takes a later beat in; an earlier one changes nothing and gives false.
    pub(crate) fn take(&mut self, pulse: ProcessUpdate, path: Path, now: Duration) -> bool {
        if pulse.beat <= self.pulse.beat {
            return false;
        }
        let sequence = |p: &ProcessUpdate| p.load.map(|l| l.sequence);
        if sequence(&pulse) != sequence(&self.pulse) {
            self.reported = now;
        }
        self.pulse = pulse;
        self.path = path;
        self.heard = now;
        self.fresh = true;
        self.streak = self.streak.saturating_add(1);
        true
    }

    /// Judges its liveness anew where beats are due every `interval`; gives a changed one.
    pub(crate) fn judge(&mut self, interval: Duration, now: Duration) -> Option<Liveness> {
        let silence = now.saturating_sub(self.heard);
        let due = if silence >= interval * DEAD_BEATS {
            Liveness::Dead
        } else if silence >= interval * SUSPECT_BEATS {
            Liveness::Suspected
        } else if self.liveness == Liveness::Live || self.streak >= RECOVER_BEATS {
            Liveness::Live
        } else {
            // Hysteresis: one late beat does not make a silent process live again.
            self.liveness
        };
        if due != Liveness::Live && silence >= interval * SUSPECT_BEATS {
            self.streak = 0;
        }
        let changed = due != self.liveness;
        self.liveness = due;
        changed.then_some(due)
    }

    /// Its state for others: the whole description if `full`.
    pub(crate) fn row(&self, full: bool) -> Row {
        if !full {
            return Row::Update(self.pulse);
        }
        let (process, pulse) = (self.process.clone(), self.pulse);
        Row::Full(Box::new(ProcessState { process, pulse, loaded: self.loaded.clone() }))
    }
}
