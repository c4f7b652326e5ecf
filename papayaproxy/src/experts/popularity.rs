//! Smoothed popularity of experts, estimated from the ranks' reports, which may be late or missing.

use super::constants::{FAST_TIME_CONSTANT, SLOW_TIME_CONSTANT, SNAPSHOTS_MAX, WINDOW_LAG_MAX};
use super::events;
use super::map::Shape;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Token counts of one rank in one window of steps. Windows begin at the same step on all ranks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// Index of the reporting rank.
    pub rank: u16,
    /// Number of the window; consecutive windows have consecutive numbers.
    pub window: u64,
    /// Tokens processed by each expert on the rank; experts without tokens are included.
    pub counts: Vec<ExpertCount>,
    /// Compute time of the rank, without the time that it waited for other ranks.
    pub busy: Duration,
}

/// Token count of one expert on one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertCount {
    /// Index of the layer.
    pub layer: u16,
    /// Number of the expert within the layer.
    pub expert: u16,
    /// Tokens that this replica processed in the window.
    pub tokens: u32,
    /// Replicas of the expert in the group, according to the rank's map.
    pub replicas: u16,
}

/// Reason for which a report was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The window of the report is closed.
    Late,
    /// The rank has already reported this window.
    Repeated,
    /// The report refers to a rank, layer or expert that the group does not have.
    Malformed,
}

struct Window {
    number: u64,
    reported: Vec<bool>,
    missing: usize,
    tokens: Vec<u64>,
    counted_replicas: Vec<u16>,
    replicas: Vec<u16>,
}

impl Window {
    fn new(number: u64, shape: Shape) -> Self {
        let cells = usize::from(shape.layers) * usize::from(shape.experts);
        Self {
            number,
            reported: vec![false; shape.ranks.into()],
            missing: shape.ranks.into(),
            tokens: vec![0; cells],
            counted_replicas: vec![0; cells],
            replicas: vec![1; cells],
        }
    }
}

/// Copy of the fast average at an earlier time.
struct Snapshot {
    taken_at: Duration,
    shares: Vec<f32>,
}

/// Popularity of each expert of each layer, as shares of the layer's tokens.
///
/// Memory grows with the number of layers and experts, not with the length of the history: two
/// averages and a bounded number of windows and snapshots are kept.
pub struct Popularity {
    shape: Shape,
    window_length: Duration,
    windows: VecDeque<Window>,
    last_closed: Option<u64>,
    counted_windows: u32,
    fast: Vec<f32>,
    slow: Vec<f32>,
    snapshots: VecDeque<Snapshot>,
}

impl Popularity {
    /// Starts with equal shares. `window_length` is the time between the starts of two windows.
    pub fn new(shape: Shape, window_length: Duration) -> Self {
        let experts = usize::from(shape.experts);
        let cells = usize::from(shape.layers) * experts;
        let even = vec![1.0 / experts as f32; cells];
        Self {
            shape,
            window_length,
            windows: VecDeque::new(),
            last_closed: None,
            counted_windows: 0,
            fast: even.clone(),
            slow: even,
            snapshots: VecDeque::new(),
        }
    }

    /// Number of windows that were closed and added to the averages.
    pub fn counted_windows(&self) -> u32 {
        self.counted_windows
    }

    /// Shares of a layer's experts in the last minutes: the average with [`FAST_TIME_CONSTANT`].
    pub fn fast(&self, layer: usize) -> &[f32] {
        self.layer_shares(&self.fast, layer)
    }

    /// Shares of a layer's experts over the planning horizon: the average with
    /// [`SLOW_TIME_CONSTANT`].
    pub fn slow(&self, layer: usize) -> &[f32] {
        self.layer_shares(&self.slow, layer)
    }

    /// Records a report. Returns whether it closed at least one window.
    ///
    /// A window is closed when all ranks have reported it, or when a window [`WINDOW_LAG_MAX`]
    /// later is reported; missing counts are then extrapolated from the expert's other replicas.
    ///
    /// # Errors
    /// The reason for which the report was dropped.
    pub fn record(&mut self, now: Duration, report: &RankReport) -> Result<bool, DropReason> {
        let counted_windows = self.counted_windows;
        let result = self.count_report(now, report);
        if let Err(reason) = result {
            let (rank, window) = (report.rank, report.window);
            tracing::info!(
                event = events::REPORT_DROPPED,
                rank,
                window,
                ?reason,
                "popularity report dropped"
            );
        }
        result.map(|()| self.counted_windows > counted_windows)
    }

    fn count_report(&mut self, now: Duration, report: &RankReport) -> Result<(), DropReason> {
        self.validate(report)?;
        self.open_window(now, report.window);
        let found = self.windows.iter_mut().find(|w| w.number == report.window);
        let window = found.ok_or(DropReason::Late)?;
        if std::mem::replace(&mut window.reported[usize::from(report.rank)], true) {
            return Err(DropReason::Repeated);
        }
        window.missing -= 1;
        for count in &report.counts {
            let cell = usize::from(count.layer) * usize::from(self.shape.experts)
                + usize::from(count.expert);
            window.tokens[cell] += u64::from(count.tokens);
            window.counted_replicas[cell] += 1;
            window.replicas[cell] = window.replicas[cell].max(count.replicas);
        }
        if window.missing == 0 {
            self.close_up_to(now, report.window);
        }
        Ok(())
    }

    /// Time for which the fast average has stayed within `tolerance` of its current value, as total
    /// variation distance; at least one window. It estimates for how long the popularity will last.
    pub fn settled_time(&self, now: Duration, tolerance: f32) -> Duration {
        let mut age = self.window_length;
        for snapshot in self.snapshots.iter().rev() {
            if self.distance(&snapshot.shares, &self.fast) > tolerance {
                return age;
            }
            age = age.max(now.saturating_sub(snapshot.taken_at));
        }
        age
    }

    /// Total variation distance between the fast and the slow average, from 0 to 1.
    pub fn drift(&self) -> f32 {
        self.distance(&self.fast, &self.slow)
    }

    fn layer_shares<'a>(&self, all: &'a [f32], layer: usize) -> &'a [f32] {
        let experts = usize::from(self.shape.experts);
        &all[layer * experts..(layer + 1) * experts]
    }

    fn distance(&self, a: &[f32], b: &[f32]) -> f32 {
        let sum: f32 = a.iter().zip(b).map(|(x, y)| (x - y).abs()).sum();
        sum / (2.0 * f32::from(self.shape.layers))
    }

    fn validate(&self, report: &RankReport) -> Result<(), DropReason> {
        let shape = self.shape;
        let known = |c: &ExpertCount| c.layer < shape.layers && c.expert < shape.experts;
        if report.rank >= shape.ranks || !report.counts.iter().all(known) {
            return Err(DropReason::Malformed);
        }
        if self.last_closed.is_some_and(|w| report.window <= w) {
            return Err(DropReason::Late);
        }
        Ok(())
    }

    fn open_window(&mut self, now: Duration, number: u64) {
        if self.windows.iter().any(|w| w.number == number) {
            return;
        }
        self.close_up_to(now, number.saturating_sub(WINDOW_LAG_MAX));
        let at = self.windows.partition_point(|w| w.number < number);
        self.windows.insert(at, Window::new(number, self.shape));
    }

    fn close_up_to(&mut self, now: Duration, number: u64) {
        while self.windows.front().is_some_and(|w| w.number <= number) {
            if let Some(window) = self.windows.pop_front() {
                let span_windows =
                    self.last_closed.map_or(1, |c| window.number - c).min(WINDOW_LAG_MAX);
                self.last_closed = Some(window.number);
                self.update_averages(now, &window, span_windows as u32);
            }
        }
    }

    fn update_averages(&mut self, now: Duration, window: &Window, span_windows: u32) {
        let experts = usize::from(self.shape.experts);
        let span = self.window_length * span_windows;
        let fast = self.smoothing_weight(span, FAST_TIME_CONSTANT);
        let slow = self.smoothing_weight(span, SLOW_TIME_CONSTANT);
        for layer in 0..usize::from(self.shape.layers) {
            let cells = layer * experts..(layer + 1) * experts;
            let found = self.estimate_shares(window, cells.clone());
            let Some(found) = found else { continue };
            for (cell, share) in cells.zip(found) {
                self.fast[cell] += fast * (share - self.fast[cell]);
                self.slow[cell] += slow * (share - self.slow[cell]);
            }
        }
        self.counted_windows += 1;
        self.take_snapshot(now);
    }

    /// Weight of the newest window in an exponential average with time constant `time`. Until
    /// enough windows are counted, the average is the plain mean of all of them.
    fn smoothing_weight(&self, span: Duration, time: Duration) -> f32 {
        let smoothed = 1.0 - (-span.as_secs_f32() / time.as_secs_f32()).exp();
        smoothed.max(1.0 / (self.counted_windows as f32 + 1.0))
    }

    /// Shares of one layer in a window; `None` if no token was counted. A replica that was not
    /// reported is assumed to have the mean count of the expert's reported ones; an expert without
    /// any report keeps its share.
    fn estimate_shares(&self, window: &Window, cells: std::ops::Range<usize>) -> Option<Vec<f32>> {
        let counted: u64 = window.tokens[cells.clone()].iter().sum();
        if counted == 0 {
            return None;
        }
        let is_complete = window.missing == 0;
        let counted_replicas = &window.counted_replicas[cells.clone()];
        let replicas = &window.replicas[cells.clone()];
        let known = |i: usize| is_complete || counted_replicas[i] > 0;
        let tokens: Vec<f32> = window.tokens[cells.clone()]
            .iter()
            .enumerate()
            .map(|(i, &t)| {
                let reported = f32::from(counted_replicas[i].max(1));
                let total =
                    if is_complete { reported } else { reported.max(f32::from(replicas[i])) };
                t as f32 * total / reported
            })
            .collect();
        let old = &self.fast[cells];
        let kept: f32 = (0..old.len()).filter(|&i| !known(i)).map(|i| old[i]).sum();
        let sum: f32 = tokens.iter().sum();
        let scale = (1.0 - kept).max(0.0) / sum.max(f32::MIN_POSITIVE);
        let share = |i: usize| if known(i) { tokens[i] * scale } else { old[i] };
        Some((0..old.len()).map(share).collect())
    }

    /// Adds a snapshot. Once there are too many, one is removed so that the ages of the others
    /// roughly double from one to the next.
    fn take_snapshot(&mut self, now: Duration) {
        self.snapshots.push_back(Snapshot { taken_at: now, shares: self.fast.clone() });
        if self.snapshots.len() <= SNAPSHOTS_MAX {
            return;
        }
        let age = |i: usize| now.saturating_sub(self.snapshots[i].taken_at);
        let is_crowded = |i: &usize| age(i - 1) < age(i + 1) * 2;
        let last = self.snapshots.len() - 2;
        let removed = (1..=last).rev().find(is_crowded).unwrap_or(0);
        self.snapshots.remove(removed);
    }
}
