//! The popularity of experts, of the moment and lasting, from the ranks' counts.

use super::constants::{COUNTS_LEAST, FAST_TIME, SLOW_TIME};
use crate::catalog::ExpertFigures;
use std::time::Duration;

/// Decayed counts of each expert of each set.
#[derive(Clone, Debug)]
pub(crate) struct Popularity {
    figures: ExpertFigures,
    fast: Vec<f32>,
    slow: Vec<f32>,
    counted: f64,
    decayed: Duration,
}

impl Popularity {
    /// Starts without knowledge.
    pub(crate) fn new(figures: ExpertFigures, now: Duration) -> Self {
        let cells = usize::from(figures.sets) * usize::from(figures.experts);
        Self { figures, fast: vec![0.0; cells], slow: vec![0.0; cells], counted: 0.0, decayed: now }
    }

    /// Sizes that it was made for.
    pub(crate) fn figures(&self) -> ExpertFigures {
        self.figures
    }

    /// Adds one rank's choices. Lists of another length are left out.
    pub(crate) fn take(&mut self, chosen: &[u32], now: Duration) {
        if chosen.len() != self.fast.len() {
            return;
        }
        self.decay(now);
        for (cell, count) in chosen.iter().enumerate() {
            let count = *count as f32;
            self.fast[cell] += count;
            self.slow[cell] += count;
            self.counted += f64::from(count);
        }
    }

    /// Whether enough was counted for a plan.
    pub(crate) fn is_known(&self) -> bool {
        self.counted >= COUNTS_LEAST * self.fast.len() as f64
    }

    /// Shares of a set's experts, of the moment and lasting.
    pub(crate) fn shares(&self, set: u16) -> (Vec<f32>, Vec<f32>) {
        let experts = usize::from(self.figures.experts);
        let cells = usize::from(set) * experts..(usize::from(set) + 1) * experts;
        (normal(&self.fast[cells.clone()]), normal(&self.slow[cells]))
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed).as_secs_f32();
        self.decayed = now;
        let keep = |time: Duration| (-passed / time.as_secs_f32()).exp();
        let (fast, slow) = (keep(FAST_TIME), keep(SLOW_TIME));
        self.fast.iter_mut().for_each(|c| *c *= fast);
        self.slow.iter_mut().for_each(|c| *c *= slow);
    }
}

fn normal(counts: &[f32]) -> Vec<f32> {
    let sum: f32 = counts.iter().sum();
    let even = 1.0 / counts.len().max(1) as f32;
    counts.iter().map(|c| if sum > 0.0 { c / sum } else { even }).collect()
}
