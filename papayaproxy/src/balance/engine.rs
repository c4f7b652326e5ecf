//! Timing model of an inference engine: published figures, corrected by observed pass durations.

use super::constants::{GAP_TARGET_RATIO, GAP_WEIGHT, LIMIT_MIN_RATIO, PASS_WEIGHT, STALL_RATIO};
use crate::catalog::EngineFigures;
use std::time::Duration;

/// Expected duration of a pass, in milliseconds, with `running` requests of the usual size and
/// balanced experts.
pub(crate) fn pass_ms(figures: &EngineFigures, running: f64) -> f64 {
    f64::from(figures.stride) * step_ms(figures, running)
}

fn step_ms(figures: &EngineFigures, running: f64) -> f64 {
    let context = figures.mean_prompt + figures.mean_answer / 2.0;
    let request_ms = figures.sequence_ms + figures.context_ms * context / 1000.0;
    figures.step_ms + request_ms * running
}

/// Ratio of a replica's observed pass duration to the expected one, learned from its agents or its
/// streams; 1 is usual.
///
/// Unbalanced experts, prefills of other requests and slow replicas all raise it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowdown {
    ratio: f64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self { ratio: 1.0 }
    }
}

impl Slowdown {
    /// The same, but no faster than usual.
    pub(crate) fn at_least_usual(self) -> Self {
        Self { ratio: self.ratio.max(1.0) }
    }

    /// Learns from the gap between two events of a stream while `running` requests ran. Ignores
    /// stalls.
    pub(crate) fn observe_gap(&mut self, figures: &EngineFigures, running: f64, gap: Duration) {
        let expected_ms = pass_ms(figures, running.clamp(1.0, f64::from(figures.slots.max(1))));
        let observed = gap.as_secs_f64() * 1000.0 / expected_ms.max(1.0);
        if observed <= STALL_RATIO {
            self.ratio += GAP_WEIGHT * (observed - self.ratio);
        }
    }

    /// Learns from the pass duration, in milliseconds, that the replicas' agents report.
    pub(crate) fn observe_pass(&mut self, figures: &EngineFigures, running: f64, measured_ms: f64) {
        let expected_ms = pass_ms(figures, running.clamp(0.0, f64::from(figures.slots.max(1))));
        self.ratio +=
            PASS_WEIGHT * ((measured_ms / expected_ms.max(1.0)).min(STALL_RATIO) - self.ratio);
    }

    /// Moves the ratio towards 1 while the replica is idle: a past slowdown need not persist.
    pub(crate) fn observe_idle(&mut self) {
        self.ratio += PASS_WEIGHT * (1.0 - self.ratio).min(0.0);
    }

    /// Most requests on a replica for which a pass stays within `gap`; all slots if `gap` is
    /// `None`.
    pub(crate) fn request_limit(&self, figures: &EngineFigures, gap: Option<Duration>) -> f64 {
        let slots = f64::from(figures.slots.max(1));
        let Some(gap) = gap else { return slots };
        let allowed_ms = gap.as_secs_f64() * 1000.0 * GAP_TARGET_RATIO / self.ratio.max(0.1);
        let base_ms = pass_ms(figures, 0.0);
        let request_ms = pass_ms(figures, 1.0) - base_ms;
        let limit =
            if request_ms > 0.0 { ((allowed_ms - base_ms) / request_ms).floor() } else { slots };
        limit.clamp((slots * LIMIT_MIN_RATIO).floor().max(1.0), slots)
    }

    /// Time to the first event of a request on a replica with `running` requests, where `tokens`
    /// counts the unread prompt tokens ahead of it and its own.
    pub(crate) fn first_event_time(
        &self,
        figures: &EngineFigures,
        running: f64,
        tokens: f64,
    ) -> Duration {
        let running = running.min(f64::from(figures.slots.max(1)));
        let steps = (tokens / f64::from(figures.chunk.max(1))).ceil().max(1.0);
        let passes = (steps / f64::from(figures.stride)).ceil();
        // On average a request arrives halfway through a pass; prefill starts with the next pass.
        let pass_ms = pass_ms(figures, running);
        let prefill_ms = tokens * 1000.0 / figures.prefill_rate.max(1.0);
        let ms = self.ratio * (pass_ms * (0.5 + passes) + prefill_ms);
        Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }

    /// Time from the first event to the last of an answer with `tokens` tokens, on a replica with
    /// `running` requests.
    pub(crate) fn answer_time(
        &self,
        figures: &EngineFigures,
        running: f64,
        tokens: f64,
    ) -> Duration {
        let running = running.min(f64::from(figures.slots.max(1)));
        let passes = tokens / f64::from(figures.stride);
        let ms = self.ratio * pass_ms(figures, running) * passes;
        Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }
}
