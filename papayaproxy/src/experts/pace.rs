//! Tells ranks that are slow by themselves from ranks with popular experts.

use super::constants::{PACE_GAIN, STRAGGLER_ENTER, STRAGGLER_LEAVE};
use super::events;
use super::popularity::RankReport;

/// Time that each rank takes for a token, relative to the group's median.
#[derive(Clone, Debug)]
pub struct StragglerDetector {
    cost: Vec<f64>,
    slow: Vec<bool>,
}

impl StragglerDetector {
    /// All of `ranks` ranks at the same pace.
    pub fn new(ranks: u16) -> Self {
        Self { cost: vec![0.0; ranks.into()], slow: vec![false; ranks.into()] }
    }

    /// Takes a report that popularity has accepted.
    ///
    /// A popular expert raises a rank's tokens and time alike; only a slow rank takes longer per
    /// token.
    pub fn record(&mut self, report: &RankReport) {
        let tokens: u64 = report.counts.iter().map(|c| u64::from(c.tokens)).sum();
        if tokens == 0 {
            return;
        }
        let found = report.busy.as_secs_f64() / tokens as f64;
        let cost = &mut self.cost[usize::from(report.rank)];
        *cost += if *cost == 0.0 { found } else { PACE_GAIN * (found - *cost) };
        self.judge(report.rank);
    }

    /// The slowdown of each rank for placement: 1 unless it is a straggler.
    pub fn slowdowns(&self) -> Vec<f32> {
        let median = self.median();
        let factor = |rank: usize| self.cost[rank] / median;
        (0..self.slow.len()).map(|r| if self.slow[r] { factor(r) as f32 } else { 1.0 }).collect()
    }

    /// Ranks that are slow by themselves.
    pub fn stragglers(&self) -> Vec<u16> {
        (0..).zip(&self.slow).filter(|(_, slow)| **slow).map(|(rank, _)| rank).collect()
    }

    fn judge(&mut self, rank: u16) {
        let index = usize::from(rank);
        let pace = self.cost[index] / self.median();
        let slow = self.slow[index];
        if !slow && pace > STRAGGLER_ENTER {
            self.slow[index] = true;
            tracing::warn!(event = events::STRAGGLER_FOUND, rank, pace, "rank is slow by itself");
        }
        if slow && pace < STRAGGLER_LEAVE {
            self.slow[index] = false;
            tracing::info!(event = events::STRAGGLER_GONE, rank, pace, "rank is no longer slow");
        }
    }

    fn median(&self) -> f64 {
        let mut known: Vec<f64> = self.cost.iter().copied().filter(|c| *c > 0.0).collect();
        if known.is_empty() {
            return 1.0;
        }
        known.sort_by(f64::total_cmp);
        known[known.len() / 2]
    }
}
