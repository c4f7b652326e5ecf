//! Smoothed popularity of experts from the ranks' late and incomplete reports.

use super::constants::{FAST_TIME, SLOW_TIME, SNAPSHOT_AGES, WINDOWS_MAX};
use super::events;
use super::map::Shape;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// What one rank counted in one window of steps. All ranks cut windows at the same steps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// The rank.
    pub rank: u16,
    /// Number of the window.
    pub window: u64,
    /// Tokens that each expert on the rank processed; experts without tokens are listed too.
    pub counts: Vec<ExpertCount>,
    /// Time in which the rank computed, without waiting for others.
    pub busy: Duration,
}

/// Tokens of one expert.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertCount {
    /// The layer.
    pub layer: u16,
    /// The expert.
    pub expert: u16,
    /// Tokens processed.
    pub tokens: u32,
    /// Replicas that the expert has in the group, as the rank's map says.
    pub replicas: u16,
}

/// Why a report was not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Its window is closed.
    Late,
    /// The rank has reported the window before.
    Repeated,
    /// It names a rank, layer or expert that the group does not have.
    Malformed,
}

struct Window {
    number: u64,
    seen: Vec<bool>,
    missing: usize,
    tokens: Vec<u64>,
    hosts: Vec<u16>,
    replicas: Vec<u16>,
}

impl Window {
    fn new(number: u64, shape: Shape) -> Self {
        let cells = usize::from(shape.layers) * usize::from(shape.experts);
        Self {
            number,
            seen: vec![false; shape.ranks.into()],
            missing: shape.ranks.into(),
            tokens: vec![0; cells],
            hosts: vec![0; cells],
            replicas: vec![1; cells],
        }
    }
}

/// An earlier state of the fast average.
struct Snapshot {
    at: Duration,
    share: Vec<f32>,
}

/// Popularity of each expert of each layer, as shares of the layer's tokens.
///
/// Its memory depends on layers and experts only: two averages, a few windows and snapshots.
pub struct Popularity {
    shape: Shape,
    period: Duration,
    windows: VecDeque<Window>,
    closed: Option<u64>,
    folds: u32,
    fast: Vec<f32>,
    slow: Vec<f32>,
    snapshots: VecDeque<Snapshot>,
}

impl Popularity {
    /// Starts without knowledge. `period` is the length of a window.
    pub fn new(shape: Shape, period: Duration) -> Self {
        let experts = usize::from(shape.experts);
        let cells = usize::from(shape.layers) * experts;
        let even = vec![1.0 / experts as f32; cells];
        Self {
            shape,
            period,
            windows: VecDeque::new(),
            closed: None,
            folds: 0,
            fast: even.clone(),
            slow: even,
            snapshots: VecDeque::new(),
        }
    }

    /// Windows that were counted.
    pub fn counted_windows(&self) -> u32 {
        self.folds
    }

    /// Shares of a layer's experts in the last minutes.
    pub fn fast(&self, layer: usize) -> &[f32] {
        self.layer(&self.fast, layer)
    }

    /// Shares of a layer's experts over the planning horizon.
    pub fn slow(&self, layer: usize) -> &[f32] {
        self.layer(&self.slow, layer)
    }

    /// Takes a report. Gives whether one or more windows were closed by it.
    ///
    /// A window is closed when all ranks have reported it, or when a window
    /// [`WINDOWS_MAX`] later is reported; what is missing then is filled in from other replicas.
    ///
    /// # Errors
    /// Why the report was not counted.
    pub fn record(&mut self, now: Duration, report: &RankReport) -> Result<bool, DropReason> {
        let folds = self.folds;
        let result = self.count(now, report);
        if let Err(reason) = result {
            let (rank, window) = (report.rank, report.window);
            tracing::info!(event = events::REPORT_DROPPED, rank, window, ?reason, "not counted");
        }
        result.map(|()| self.folds > folds)
    }

    fn count(&mut self, now: Duration, report: &RankReport) -> Result<(), DropReason> {
        self.check(report)?;
        self.open_up_to(now, report.window);
        let found = self.windows.iter_mut().find(|w| w.number == report.window);
        let window = found.ok_or(DropReason::Late)?;
        if std::mem::replace(&mut window.seen[usize::from(report.rank)], true) {
            return Err(DropReason::Repeated);
        }
        window.missing -= 1;
        for count in &report.counts {
            let cell = usize::from(count.layer) * usize::from(self.shape.experts)
                + usize::from(count.expert);
            window.tokens[cell] += u64::from(count.tokens);
            window.hosts[cell] += 1;
            window.replicas[cell] = window.replicas[cell].max(count.replicas);
        }
        if window.missing == 0 {
            self.close_up_to(now, report.window);
        }
        Ok(())
    }

    /// Time for which the fast average has been near its present value: an estimate of how long it
    /// will stay so. `tolerance` is the total variation distance that counts as near.
    pub fn settled(&self, now: Duration, tolerance: f32) -> Duration {
        let mut age = self.period;
        for snapshot in self.snapshots.iter().rev() {
            if self.distance(&snapshot.share, &self.fast) > tolerance {
                return age;
            }
            age = age.max(now.saturating_sub(snapshot.at));
        }
        age
    }

    /// Total variation distance between the fast and the slow average, from 0 to 1.
    pub fn drift(&self) -> f32 {
        self.distance(&self.fast, &self.slow)
    }

    fn layer<'a>(&self, all: &'a [f32], layer: usize) -> &'a [f32] {
        let experts = usize::from(self.shape.experts);
        &all[layer * experts..(layer + 1) * experts]
    }

    fn distance(&self, a: &[f32], b: &[f32]) -> f32 {
        let sum: f32 = a.iter().zip(b).map(|(x, y)| (x - y).abs()).sum();
        sum / (2.0 * f32::from(self.shape.layers))
    }

    fn check(&self, report: &RankReport) -> Result<(), DropReason> {
        let shape = self.shape;
        let known = |c: &ExpertCount| c.layer < shape.layers && c.expert < shape.experts;
        if report.rank >= shape.ranks || !report.counts.iter().all(known) {
            return Err(DropReason::Malformed);
        }
        if self.closed.is_some_and(|w| report.window <= w) {
            return Err(DropReason::Late);
        }
        Ok(())
    }

    fn open_up_to(&mut self, now: Duration, number: u64) {
        if self.windows.iter().any(|w| w.number == number) {
            return;
        }
        self.close_up_to(now, number.saturating_sub(WINDOWS_MAX));
        let at = self.windows.partition_point(|w| w.number < number);
        self.windows.insert(at, Window::new(number, self.shape));
    }

    fn close_up_to(&mut self, now: Duration, number: u64) {
        while self.windows.front().is_some_and(|w| w.number <= number) {
            if let Some(window) = self.windows.pop_front() {
                let steps = self.closed.map_or(1, |c| window.number - c).min(WINDOWS_MAX);
                self.closed = Some(window.number);
                self.fold(now, &window, steps as u32);
            }
        }
    }

    fn fold(&mut self, now: Duration, window: &Window, steps: u32) {
        let experts = usize::from(self.shape.experts);
        let span = self.period * steps;
        let fast = self.gain(span, FAST_TIME);
        let slow = self.gain(span, SLOW_TIME);
        for layer in 0..usize::from(self.shape.layers) {
            let cells = layer * experts..(layer + 1) * experts;
            let found = self.estimate(window, cells.clone());
            let Some(found) = found else { continue };
            for (cell, share) in cells.zip(found) {
                self.fast[cell] += fast * (share - self.fast[cell]);
                self.slow[cell] += slow * (share - self.slow[cell]);
            }
        }
        self.folds += 1;
        self.snap(now);
    }

    /// Weight of the newest window in an average; the plain mean until the average has filled.
    fn gain(&self, span: Duration, time: Duration) -> f32 {
        let smoothed = 1.0 - (-span.as_secs_f32() / time.as_secs_f32()).exp();
        smoothed.max(1.0 / (self.folds as f32 + 1.0))
    }

    /// Shares of one layer. Replicas that were not reported count as their siblings did; an expert
    /// without any report keeps its share.
    fn estimate(&self, window: &Window, cells: std::ops::Range<usize>) -> Option<Vec<f32>> {
        let counted: u64 = window.tokens[cells.clone()].iter().sum();
        if counted == 0 {
            return None;
        }
        let whole = window.missing == 0;
        let hosts = &window.hosts[cells.clone()];
        let replicas = &window.replicas[cells.clone()];
        let known = |i: usize| whole || hosts[i] > 0;
        let tokens: Vec<f32> = window.tokens[cells.clone()]
            .iter()
            .enumerate()
            .map(|(i, &t)| {
                let seen = f32::from(hosts[i].max(1));
                let all = if whole { seen } else { seen.max(f32::from(replicas[i])) };
                t as f32 * all / seen
            })
            .collect();
        let old = &self.fast[cells];
        let kept: f32 = (0..old.len()).filter(|&i| !known(i)).map(|i| old[i]).sum();
        let sum: f32 = tokens.iter().sum();
        let scale = (1.0 - kept).max(0.0) / sum.max(f32::MIN_POSITIVE);
        let share = |i: usize| if known(i) { tokens[i] * scale } else { old[i] };
        Some((0..old.len()).map(share).collect())
    }

    /// Keeps snapshots at ages that about double from one to the next.
    fn snap(&mut self, now: Duration) {
        self.snapshots.push_back(Snapshot { at: now, share: self.fast.clone() });
        if self.snapshots.len() <= SNAPSHOT_AGES {
            return;
        }
        let age = |i: usize| now.saturating_sub(self.snapshots[i].at);
        let crowded = |i: &usize| age(i - 1) < age(i + 1) * 2;
        let last = self.snapshots.len() - 2;
        let victim = (1..=last).rev().find(crowded).unwrap_or(0);
        self.snapshots.remove(victim);
    }
}
