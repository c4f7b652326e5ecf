//! Times of a model engine, by its published figures and what is observed.

use super::constants::{GAP_PART, GAP_STALL, GAP_WEIGHT, PASS_WEIGHT, SEATS_LEAST};
use crate::catalog::EngineFigures;
use std::time::Duration;

/// Milliseconds of a pass with `running` requests of the usual size, with balanced experts.
pub(crate) fn pass_ms(figures: &EngineFigures, running: f64) -> f64 {
    f64::from(figures.stride) * step_ms(figures, running)
}

fn step_ms(figures: &EngineFigures, running: f64) -> f64 {
    let context = figures.mean_prompt + figures.mean_answer / 2.0;
    let each = figures.sequence_ms + figures.context_ms * context / 1000.0;
    figures.step_ms + each * running
}

/// How much slower a replica's passes are than the model's, learned from its agents or its streams.
///
/// Unbalanced experts, other requests' prompts and slow replicas all show here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    factor: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl Pace {
    /// Takes the gap between two events of a stream, seen while `running` requests ran.
    pub(crate) fn observe(&mut self, figures: &EngineFigures, running: f64, gap: Duration) {
        let model = pass_ms(figures, running.clamp(1.0, f64::from(figures.slots.max(1))));
        let ratio = gap.as_secs_f64() * 1000.0 / model.max(1.0);
        if ratio <= GAP_STALL {
            self.factor += GAP_WEIGHT * (ratio - self.factor);
        }
    }

    /// Takes the duration of a pass as the replicas' own agents measure it.
    pub(crate) fn set(&mut self, figures: &EngineFigures, running: f64, pass: f64) {
        let model = pass_ms(figures, running.clamp(0.0, f64::from(figures.slots.max(1))));
        self.factor += PASS_WEIGHT * ((pass / model.max(1.0)).min(GAP_STALL) - self.factor);
    }

    /// Takes note that the replica runs nothing: what was slow need not be so any more.
    pub(crate) fn rest(&mut self) {
        self.factor += PASS_WEIGHT * (1.0 - self.factor).min(0.0);
    }

    /// Most requests on a replica for which a pass stays within `gap`.
    pub(crate) fn seats(&self, figures: &EngineFigures, gap: Option<Duration>) -> f64 {
        let slots = f64::from(figures.slots.max(1));
        let Some(gap) = gap else { return slots };
        let allowed = gap.as_secs_f64() * 1000.0 * GAP_PART / self.factor.max(0.1);
        let base = pass_ms(figures, 0.0);
        let each = pass_ms(figures, 1.0) - base;
        let most = if each > 0.0 { ((allowed - base) / each).floor() } else { slots };
        most.clamp((slots * SEATS_LEAST).floor().max(1.0), slots)
    }

    /// Time to the first event of a request, behind `tokens` prompt tokens with its own, on a
    /// replica with `running` requests.
    pub(crate) fn first_event(
        &self,
        figures: &EngineFigures,
        running: f64,
        tokens: f64,
    ) -> Duration {
        let running = running.min(f64::from(figures.slots.max(1)));
        let steps = (tokens / f64::from(figures.chunk.max(1))).ceil().max(1.0);
        let passes = (steps / f64::from(figures.stride)).ceil();
        // A request comes in the middle of a pass; its prompt is read in the passes after it.
        let pass = pass_ms(figures, running);
        let prefill = tokens * 1000.0 / figures.prefill_rate.max(1.0);
        let ms = self.factor * (pass * (0.5 + passes) + prefill);
        Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }

    /// Time from the first event to the last of an answer with `tokens` tokens, on a replica with
    /// `running` requests.
    pub(crate) fn answer(&self, figures: &EngineFigures, running: f64, tokens: f64) -> Duration {
        let running = running.min(f64::from(figures.slots.max(1)));
        let passes = tokens / f64::from(figures.stride);
        let ms = self.factor * pass_ms(figures, running) * passes;
        Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }
}
