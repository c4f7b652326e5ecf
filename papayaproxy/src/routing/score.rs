//! Score of a candidate: a predicted time, so that all terms share the unit of seconds.

use super::candidates::Distance;
use super::constants::{
    DECODE_WEIGHT, OCCUPANCY_SECONDS, PREFILL_WEIGHT, SLOW_START_FLOOR, UNREPORTED_SECONDS,
};
use super::load::Load;
use super::request::Request;
use super::settings::Settings;
use std::time::Duration;

/// Inputs of the forecast for one candidate.
pub(crate) struct ForecastInput<'a> {
    pub load: &'a Load,
    pub distance: Distance,
    /// Step time of its lock-step group in seconds; `None` without a group.
    pub group_step: Option<f64>,
    /// Prompt tokens that its cache is expected to hold.
    pub cached_tokens: f64,
    /// Estimated ratio of the requests sent by all entries to those sent by this entry.
    pub entries_factor: f64,
}

/// Prediction for one candidate.
pub(crate) struct Forecast {
    /// Time to the first token, or to the answer of a plain service, in seconds.
    pub first_token: f64,
    /// Time to the last token, in seconds.
    pub last_token: f64,
    /// Score in seconds; lower is better.
    pub score: f64,
}

/// Predicts how a candidate would serve `request` if it were sent at `now`.
pub(crate) fn forecast(
    request: &Request<'_>,
    input: &ForecastInput<'_>,
    settings: &Settings,
    now: Duration,
) -> Forecast {
    let mut forecast = if request.model.is_some() {
        model_forecast(request, input, now)
    } else {
        plain_forecast(input, now)
    };
    forecast.score =
        forecast.score / slow_start_factor(input.load, settings, now) + penalty(input, settings);
    forecast
}

fn model_forecast(request: &Request<'_>, input: &ForecastInput<'_>, now: Duration) -> Forecast {
    let load = input.load;
    let slots = f64::from(load.slots());
    let requests = load.requests(now, input.entries_factor);
    let step = input.group_step.unwrap_or(0.0).max(load.step_seconds());
    let output = f64::from(request.output_tokens);
    let prefill_tokens = (f64::from(request.prompt_tokens) - input.cached_tokens).max(1.0);
    let tokens_ahead = load.waiting_tokens(now, input.entries_factor) + prefill_tokens;
    let queued = (requests + 1.0 - slots).max(0.0);
    let slot_wait = queued / slots * output * step;
    let first_token = tokens_ahead / load.prefill_rate + slot_wait + step;
    let last_token = first_token + output * step;
    let prefill_cost = PREFILL_WEIGHT * prefill_tokens / load.prefill_rate;
    let score = first_token
        + prefill_cost
        + DECODE_WEIGHT * output * step
        + OCCUPANCY_SECONDS * requests / slots;
    Forecast { first_token, last_token, score }
}

fn plain_forecast(input: &ForecastInput<'_>, now: Duration) -> Forecast {
    let load = input.load;
    let queue_rounds =
        (load.requests(now, input.entries_factor) / f64::from(load.slots())).max(0.0);
    let first_token = load.call_seconds * (1.0 + queue_rounds);
    Forecast { first_token, last_token: first_token, score: first_token }
}

fn penalty(input: &ForecastInput<'_>, settings: &Settings) -> f64 {
    let distance = match input.distance {
        Distance::SameZone => 0.0,
        Distance::SameRegion => settings.zone_penalty.as_secs_f64(),
        Distance::OtherRegion => settings.region_penalty.as_secs_f64(),
    };
    let unreported = if input.load.has_report() { 0.0 } else { UNREPORTED_SECONDS };
    distance + unreported
}

/// Divisor of the score during slow start: grows linearly from [`SLOW_START_FLOOR`] to 1.
fn slow_start_factor(load: &Load, settings: &Settings, now: Duration) -> f64 {
    let Some(start) = load.slow_start_at else { return 1.0 };
    let ramp = settings.slow_start.as_secs_f64().max(1e-3);
    let fraction = now.saturating_sub(start).as_secs_f64() / ramp;
    fraction.clamp(SLOW_START_FLOOR, 1.0)
}
