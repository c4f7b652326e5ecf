//! Detection of stragglers: ranks that are slow for other reasons than popular experts.

use super::constants::{STRAGGLER_ENTER, STRAGGLER_LEAVE, TOKEN_TIME_GAIN};
use super::events;
use super::popularity::RankReport;

/// Smoothed compute time per token of each rank, compared with the group's median.
#[derive(Clone, Debug)]
pub struct StragglerDetector {
    token_time: Vec<f64>,
    is_straggler: Vec<bool>,
}

impl StragglerDetector {
    /// Creates a detector for `ranks` ranks, none of them a straggler.
    pub fn new(ranks: u16) -> Self {
        Self { token_time: vec![0.0; ranks.into()], is_straggler: vec![false; ranks.into()] }
    }

    /// Records a report that [`Popularity`](super::popularity::Popularity) has accepted.
    ///
    /// A popular expert increases a rank's tokens and compute time in proportion; only a straggler
    /// takes longer per token.
    pub fn record(&mut self, report: &RankReport) {
        let tokens: u64 = report.counts.iter().map(|c| u64::from(c.tokens)).sum();
        if tokens == 0 {
            return;
        }
        let sample = report.busy.as_secs_f64() / tokens as f64;
        let token_time = &mut self.token_time[usize::from(report.rank)];
        *token_time +=
            if *token_time == 0.0 { sample } else { TOKEN_TIME_GAIN * (sample - *token_time) };
        self.update_straggler(report.rank);
    }

    /// Slowdown of each rank, for placement: its time per token relative to the median for a
    /// straggler, 1 for all others.
    pub fn slowdowns(&self) -> Vec<f32> {
        let median_token_time = self.median_token_time();
        let factor = |rank: usize| self.token_time[rank] / median_token_time;
        (0..self.is_straggler.len())
            .map(|r| if self.is_straggler[r] { factor(r) as f32 } else { 1.0 })
            .collect()
    }

    /// Indices of the ranks that are stragglers.
    pub fn stragglers(&self) -> Vec<u16> {
        (0..)
            .zip(&self.is_straggler)
            .filter(|(_, is_straggler)| **is_straggler)
            .map(|(rank, _)| rank)
            .collect()
    }

    fn update_straggler(&mut self, rank: u16) {
        let index = usize::from(rank);
        let slowdown = self.token_time[index] / self.median_token_time();
        let is_straggler = self.is_straggler[index];
        if !is_straggler && slowdown > STRAGGLER_ENTER {
            self.is_straggler[index] = true;
            tracing::warn!(
                event = events::STRAGGLER_FOUND,
                rank,
                pace = slowdown,
                "rank is a straggler"
            );
        }
        if is_straggler && slowdown < STRAGGLER_LEAVE {
            self.is_straggler[index] = false;
            tracing::info!(
                event = events::STRAGGLER_GONE,
                rank,
                pace = slowdown,
                "rank is no longer a straggler"
            );
        }
    }

    fn median_token_time(&self) -> f64 {
        let mut known: Vec<f64> = self.token_time.iter().copied().filter(|c| *c > 0.0).collect();
        if known.is_empty() {
            return 1.0;
        }
        known.sort_by(f64::total_cmp);
        known[known.len() / 2]
    }
}
