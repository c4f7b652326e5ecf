//! The score of one candidate: a predicted time in seconds, so that every part has one unit.

use super::candidates::Distance;
use super::constants::{
    CROWD_SECONDS, DECODE_WEIGHT, MISS_WEIGHT, SLOW_START_FLOOR, UNKNOWN_SECONDS,
};
use super::load::Load;
use super::request::Request;
use super::settings::Settings;
use std::time::Duration;

/// What the score of a candidate is made from.
pub(crate) struct Input<'a> {
    pub load: &'a Load,
    pub distance: Distance,
    /// Step time of its lock-step group, in seconds.
    pub step: Option<f64>,
    /// Tokens of the prompt that its cache is expected to hold.
    pub cached: f64,
    /// Entries whose sends since the report the own ones stand for.
    pub peers: f64,
}

/// The prediction for one candidate.
pub(crate) struct Forecast {
    /// Time to the first token, or to the answer of a plain service, in seconds.
    pub first: f64,
    /// Time to the last token, in seconds.
    pub last: f64,
    /// The score, in seconds.
    pub score: f64,
}

/// Predicts how a candidate would serve `request` at `now`.
pub(crate) fn forecast(
    request: &Request<'_>,
    input: &Input<'_>,
    settings: &Settings,
    now: Duration,
) -> Forecast {
    let mut found = if request.model.is_some() {
        model_forecast(request, input, now)
    } else {
        plain_forecast(input, now)
    };
    found.score = found.score / ramp(input.load, settings, now) + penalty(input, settings);
    found
}

fn model_forecast(request: &Request<'_>, input: &Input<'_>, now: Duration) -> Forecast {
    let load = input.load;
    let slots = f64::from(load.slots());
    let requests = load.requests(now, input.peers);
    let step = input.step.unwrap_or(0.0).max(load.step());
    let output = f64::from(request.output_tokens);
    let tokens = (f64::from(request.prompt_tokens) - input.cached).max(1.0);
    let ahead = load.waiting(now, input.peers) + tokens;
    let excess = (requests + 1.0 - slots).max(0.0);
    let slot_wait = excess / slots * output * step;
    let first = ahead / load.rate + slot_wait + step;
    let last = first + output * step;
    let others = MISS_WEIGHT * tokens / load.rate;
    let score = first + others + DECODE_WEIGHT * output * step + CROWD_SECONDS * requests / slots;
    Forecast { first, last, score }
}

fn plain_forecast(input: &Input<'_>, now: Duration) -> Forecast {
    let load = input.load;
    let waves = (load.requests(now, input.peers) / f64::from(load.slots())).max(0.0);
    let first = load.call * (1.0 + waves);
    Forecast { first, last: first, score: first }
}

fn penalty(input: &Input<'_>, settings: &Settings) -> f64 {
    let distance = match input.distance {
        Distance::Zone => 0.0,
        Distance::Region => settings.zone_penalty.as_secs_f64(),
        Distance::Far => settings.region_penalty.as_secs_f64(),
    };
    let unknown = if input.load.known() { 0.0 } else { UNKNOWN_SECONDS };
    distance + unknown
}

/// The part of its full load that an upstream may take, from the slow-start floor to 1.
fn ramp(load: &Load, settings: &Settings, now: Duration) -> f64 {
    let Some(since) = load.since else { return 1.0 };
    let span = settings.slow_start.as_secs_f64().max(1e-3);
    let part = now.saturating_sub(since).as_secs_f64() / span;
    part.clamp(SLOW_START_FLOOR, 1.0)
}
