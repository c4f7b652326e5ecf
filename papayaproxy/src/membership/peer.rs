//! State and liveness of one remote process.

use super::constants::{DEAD_HEARTBEATS, RECOVER_HEARTBEATS, SUSPECT_HEARTBEATS};
use super::report::LoadedModel;
use super::row::{Process, ProcessState, ProcessUpdate, Row};
use std::time::Duration;

/// Liveness of a process, judged by its missing heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Liveness {
    /// Heartbeats arrive.
    #[default]
    Live,
    /// At least `SUSPECT_HEARTBEATS` are missing.
    Suspected,
    /// At least `DEAD_HEARTBEATS` are missing.
    Dead,
}

/// Path by which the latest state of a process arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Path {
    /// From the process itself.
    Direct,
    /// Forwarded by a peer of another zone.
    Remote,
    /// Forwarded by an entry in the same grid row.
    GridRow,
    /// Forwarded by any other peer.
    Other,
}

/// A remote process.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) process: Process,
    pub(crate) update: ProcessUpdate,
    pub(crate) loaded: Vec<LoadedModel>,
    pub(crate) liveness: Liveness,
    pub(crate) path: Path,
    /// When the sequence number last increased.
    pub(crate) last_heard: Duration,
    /// When the sequence number of the load report last changed.
    pub(crate) last_report: Duration,
    /// Whether the run is new or its sequence number has increased since the last tick.
    pub(crate) has_update: bool,
    /// Whether a full state has arrived since the last tick; the next row is then a full one.
    pub(crate) full_received: bool,
    /// When the first heartbeat without a reply was sent; `None` once the peer is heard directly.
    pub(crate) unanswered_since: Option<Duration>,
    /// Updates since the process was last found suspected or dead.
    streak: u8,
}

impl Peer {
    /// Starts to track a run.
    pub(crate) fn new(state: ProcessState, path: Path, now: Duration) -> Self {
        Self {
            process: state.process,
            update: state.update,
            loaded: state.loaded,
            liveness: Liveness::Live,
            path,
            last_heard: now,
            last_report: now,
            has_update: true,
            full_received: true,
            unanswered_since: None,
            streak: 0,
        }
    }

    /// Applies a later update. Returns false for one that is not newer, which is ignored.
    pub(crate) fn apply_update(
        &mut self,
        update: ProcessUpdate,
        path: Path,
        now: Duration,
    ) -> bool {
        if update.sequence <= self.update.sequence {
            return false;
        }
        let load_sequence = |p: &ProcessUpdate| p.load.map(|l| l.sequence);
        if load_sequence(&update) != load_sequence(&self.update) {
            self.last_report = now;
        }
        self.update = update;
        self.path = path;
        self.last_heard = now;
        self.has_update = true;
        self.streak = self.streak.saturating_add(1);
        true
    }

    /// Updates the liveness for heartbeats due every `interval`, and returns it if it has changed.
    pub(crate) fn update_liveness(
        &mut self,
        interval: Duration,
        now: Duration,
    ) -> Option<Liveness> {
        let silence = now.saturating_sub(self.last_heard);
        let next = if silence >= interval * DEAD_HEARTBEATS {
            Liveness::Dead
        } else if silence >= interval * SUSPECT_HEARTBEATS {
            Liveness::Suspected
        } else if self.liveness == Liveness::Live || self.streak >= RECOVER_HEARTBEATS {
            Liveness::Live
        } else {
            // Hysteresis: a single late heartbeat does not make a silent process live again.
            self.liveness
        };
        if next != Liveness::Live && silence >= interval * SUSPECT_HEARTBEATS {
            self.streak = 0;
        }
        let changed = next != self.liveness;
        self.liveness = next;
        changed.then_some(next)
    }

    /// Row that forwards the state of this process, with its full state if `full`.
    pub(crate) fn row(&self, full: bool) -> Row {
        if !full {
            return Row::Update(self.update);
        }
        let (process, update) = (self.process.clone(), self.update);
        Row::Full(Box::new(ProcessState { process, update, loaded: self.loaded.clone() }))
    }
}
