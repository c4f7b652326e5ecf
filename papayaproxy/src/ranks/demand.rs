//! Popularity of experts, from the counts of some ranks. Without I/O or clock.
//!
//! Demand stays the same for seconds and then shifts at once for all requests. So counts are
//! compared in short windows: one that differs from all counts since the last shift by much more than
//! windows usually do, or two in a row by somewhat more, begin a new estimate without any older counts.

use super::constants::{
    CHANGE_MARGIN, DEVIATION_FACTOR, DEVIATION_FACTOR_AGAIN, DEVIATION_INITIAL, INITIAL_LIFE,
    LIFE_MAX, LIFE_MIN, LIFE_WEIGHT, MIN_COUNTS_PER_EXPERT, MIXED_TIME, NOISE_INITIAL,
    NOISE_WEIGHT, WINDOW_LENGTH,
};
use super::events;
use crate::catalog::ExpertFigures;
use std::time::Duration;

/// Estimated share of each expert of each set since the last shift of demand.
#[derive(Clone, Debug)]
pub(crate) struct Popularity {
    figures: ExpertFigures,
    /// Counts since the last shift.
    estimate: Vec<f32>,
    estimate_count: f64,
    /// Counts of the window in progress.
    window: Vec<f32>,
    window_count: f64,
    window_start: Duration,
    /// Counts of the last complete window.
    last_window: Vec<f32>,
    /// Usual distance between a window and the estimate, and its usual deviation. Samples of few
    /// requests lie far from the estimate, but all about as far.
    noise: f32,
    deviation: f32,
    /// When the last shift was noticed; `None` before the first.
    changed_at: Option<Duration>,
    /// Mean time between shifts.
    mean_life: Duration,
    /// Distance of the last window on the scale of `noise`, if it was unusual but alone no shift.
    suspect: Option<f32>,
    /// Whether the last window agreed with the estimate.
    is_settled: bool,
}

impl Popularity {
    /// Creates empty counts for maps of the given sizes.
    pub(crate) fn new(figures: ExpertFigures, now: Duration) -> Self {
        let cells = usize::from(figures.sets) * usize::from(figures.experts);
        Self {
            figures,
            estimate: vec![0.0; cells],
            estimate_count: 0.0,
            window: vec![0.0; cells],
            window_count: 0.0,
            window_start: now,
            last_window: vec![0.0; cells],
            noise: NOISE_INITIAL,
            deviation: DEVIATION_INITIAL,
            changed_at: None,
            mean_life: INITIAL_LIFE,
            suspect: None,
            is_settled: false,
        }
    }

    /// Sizes of the expert maps that the counts belong to.
    pub(crate) fn figures(&self) -> ExpertFigures {
        self.figures
    }

    /// Adds one rank's counts, one set after the other. Lists of another length are ignored. Returns
    /// whether a window is complete.
    pub(crate) fn record(&mut self, counts: &[u32], now: Duration) -> bool {
        if counts.len() != self.window.len() {
            return false;
        }
        for (cell, count) in self.window.iter_mut().zip(counts) {
            *cell += *count as f32;
            self.window_count += f64::from(*count);
        }
        let enough = self.window_count >= MIN_COUNTS_PER_EXPERT * self.window.len() as f64;
        let is_complete = enough && now >= self.window_start + WINDOW_LENGTH;
        if is_complete {
            self.close_window(now);
        }
        is_complete
    }

    /// Counts of the last complete window, one set after the other.
    pub(crate) fn last_window(&self) -> &[f32] {
        &self.last_window
    }

    /// Whether the estimate is known and the last window agreed with it: a plan for the mixture
    /// that is counted during a shift would fit neither demand.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// When the last shift of demand was noticed; `None` before the first counts.
    pub(crate) fn changed_at(&self) -> Option<Duration> {
        self.changed_at
    }

    /// Time for which demand is expected to stay as it is: the usual time between two shifts, or as
    /// long as it has already lasted.
    pub(crate) fn expected_life(&self, now: Duration) -> Duration {
        let lasted = self.changed_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.mean_life.max(lasted)
    }

    /// Share of each of a set's experts; they sum to 1.
    pub(crate) fn shares(&self, set: u16) -> Vec<f32> {
        let experts = usize::from(self.figures.experts);
        let cells = usize::from(set) * experts..(usize::from(set) + 1) * experts;
        normalize(&self.estimate[cells])
    }

    fn close_window(&mut self, now: Duration) {
        self.last_window.clone_from(&self.window);
        let known = self.changed_at.is_some();
        let distance = if known { self.window_distance() } else { 1.0 };
        // An estimate of one window varies as much as the window that it is compared with.
        let scale = (1.0 + self.window_count / self.estimate_count.max(1.0)).min(2.0).sqrt() as f32;
        let limit =
            |deviations: f32| scale * (self.noise + deviations * self.deviation) + CHANGE_MARGIN;
        let (limit, suspect_limit) = (limit(DEVIATION_FACTOR), limit(DEVIATION_FACTOR_AGAIN));
        let is_large = distance > suspect_limit;
        let is_shift = distance > limit || (is_large && self.suspect.is_some());
        self.is_settled = !is_large;
        if is_large && !is_shift {
            // The next window decides. Learning from a shift would raise the limit that shows it.
            self.suspect = Some(distance / scale);
        } else if self.is_settled {
            if let Some(distance) = self.suspect.take() {
                self.learn_noise(distance);
            }
            self.learn_noise(distance / scale);
            let is_mixed = self.changed_at.is_some_and(|at| now < at + MIXED_TIME);
            if is_mixed {
                std::mem::swap(&mut self.estimate, &mut self.window);
                self.estimate_count = self.window_count;
            } else {
                self.estimate.iter_mut().zip(&self.window).for_each(|(sum, count)| *sum += count);
                self.estimate_count += self.window_count;
            }
        } else {
            self.suspect = None;
            self.begin_estimate(distance, limit, now);
        }
        self.window.fill(0.0);
        (self.window_count, self.window_start) = (0.0, now);
    }

    /// Takes the distance of a window from an estimate of many into the usual one.
    fn learn_noise(&mut self, distance: f32) {
        let deviation = (distance - self.noise).abs();
        self.deviation += NOISE_WEIGHT * (deviation - self.deviation);
        self.noise += NOISE_WEIGHT * (distance - self.noise);
    }

    fn begin_estimate(&mut self, distance: f32, limit: f32, now: Duration) {
        std::mem::swap(&mut self.estimate, &mut self.window);
        self.estimate_count = self.window_count;
        let lasted = self.changed_at.map(|at| now.saturating_sub(at));
        // The window in which a shift falls differs from the one before and from the one after.
        if let Some(lasted) = lasted.filter(|l| *l >= LIFE_MIN) {
            let old = self.mean_life.as_secs_f64();
            let life = old + LIFE_WEIGHT * (lasted.min(LIFE_MAX).as_secs_f64() - old);
            self.mean_life = Duration::from_secs_f64(life);
        }
        self.changed_at = Some(now);
        tracing::info!(
            event = events::DEMAND_SHIFTED,
            distance,
            limit,
            lasted_ms = lasted.map(|l| l.as_millis() as u64),
            life_ms = self.mean_life.as_millis() as u64,
            "demand for experts has shifted"
        );
    }

    /// Total variation distance between the window and the estimate, as the mean over all sets.
    fn window_distance(&self) -> f32 {
        let experts = usize::from(self.figures.experts);
        let sets = self.estimate.chunks(experts).zip(self.window.chunks(experts));
        let distance = |(old, new): (&[f32], &[f32])| {
            let (old, new) = (normalize(old), normalize(new));
            old.iter().zip(&new).map(|(a, b)| (a - b).abs()).sum::<f32>() / 2.0
        };
        sets.map(distance).sum::<f32>() / f32::from(self.figures.sets.max(1))
    }
}

fn normalize(counts: &[f32]) -> Vec<f32> {
    let sum: f32 = counts.iter().sum();
    let even = 1.0 / counts.len().max(1) as f32;
    counts.iter().map(|c| if sum > 0.0 { c / sum } else { even }).collect()
}
