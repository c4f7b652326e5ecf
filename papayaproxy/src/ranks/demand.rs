//! Short-term and long-term popularity of experts, from the counts of all ranks.

use super::constants::{FAST_TIME_CONSTANT, MIN_COUNTS_PER_EXPERT, SLOW_TIME_CONSTANT};
use crate::catalog::ExpertFigures;
use std::time::Duration;

/// Exponentially decayed counts of each expert of each set.
#[derive(Clone, Debug)]
pub(crate) struct Popularity {
    figures: ExpertFigures,
    fast: Vec<f32>,
    slow: Vec<f32>,
    total_count: f64,
    decayed_at: Duration,
}

impl Popularity {
    /// Creates empty counts for maps of the given sizes.
    pub(crate) fn new(figures: ExpertFigures, now: Duration) -> Self {
        let cells = usize::from(figures.sets) * usize::from(figures.experts);
        Self {
            figures,
            fast: vec![0.0; cells],
            slow: vec![0.0; cells],
            total_count: 0.0,
            decayed_at: now,
        }
    }

    /// Sizes of the expert maps that the counts belong to.
    pub(crate) fn figures(&self) -> ExpertFigures {
        self.figures
    }

    /// Adds one rank's counts, one set after the other. Lists of another length are ignored.
    pub(crate) fn record(&mut self, counts: &[u32], now: Duration) {
        if counts.len() != self.fast.len() {
            return;
        }
        self.decay(now);
        for (cell, count) in counts.iter().enumerate() {
            let count = *count as f32;
            self.fast[cell] += count;
            self.slow[cell] += count;
            self.total_count += f64::from(count);
        }
    }

    /// Whether enough choices were counted for a plan.
    pub(crate) fn is_known(&self) -> bool {
        self.total_count >= MIN_COUNTS_PER_EXPERT * self.fast.len() as f64
    }

    /// Short-term and long-term shares of a set's experts; each list sums to 1.
    pub(crate) fn shares(&self, set: u16) -> (Vec<f32>, Vec<f32>) {
        let experts = usize::from(self.figures.experts);
        let cells = usize::from(set) * experts..(usize::from(set) + 1) * experts;
        (normalize(&self.fast[cells.clone()]), normalize(&self.slow[cells]))
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f32();
        self.decayed_at = now;
        let factor = |time: Duration| (-passed / time.as_secs_f32()).exp();
        let (fast, slow) = (factor(FAST_TIME_CONSTANT), factor(SLOW_TIME_CONSTANT));
        self.fast.iter_mut().for_each(|c| *c *= fast);
        self.slow.iter_mut().for_each(|c| *c *= slow);
    }
}

fn normalize(counts: &[f32]) -> Vec<f32> {
    let sum: f32 = counts.iter().sum();
    let even = 1.0 / counts.len().max(1) as f32;
    counts.iter().map(|c| if sum > 0.0 { c / sum } else { even }).collect()
}
