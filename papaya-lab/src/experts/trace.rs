//! Drift of expert popularity over time, from a seed.

use super::constants::EXPERTS;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::f32::consts::TAU;

/// Spread of the experts' log popularity.
const BASE_SPREAD: f32 = 0.7;

/// Amplitude of the slow drift of log popularity.
const DRIFT: f32 = 0.5;

/// Shortest and longest period of the slow drift, in seconds.
const DRIFT_PERIOD_S: [f32; 2] = [7200.0, 21600.0];

/// Mean time between the ends and beginnings of waves, in seconds.
const WAVE_GAP_S: f32 = 700.0;

/// Shortest and longest wave, in seconds.
const WAVE_S: [f32; 2] = [180.0, 600.0];

/// Time in which a wave rises and falls, in seconds.
const WAVE_RAMP_S: f32 = 20.0;

/// Experts that a wave makes popular in each layer.
const WAVE_EXPERTS: usize = 8;

/// Rise of log popularity in a wave: least and most.
const WAVE_RISE: [f32; 2] = [1.0, 2.2];

/// Time between two flips, in seconds.
const FLIP_S: u64 = 150;

/// Slowdown of the straggler.
const STRAGGLER_PACE: f32 = 1.4;

/// A kind of drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A steady season with slow drift.
    Cellar,
    /// Waves in which a few experts suddenly become popular.
    OrderDesk,
    /// Two popularities in turn.
    FlipFlop,
    /// One rank is slow for the middle half of the time.
    Straggler,
    /// No drift.
    Static,
}

impl Kind {
    /// Every kind with its name.
    pub(crate) const ALL: [(&'static str, Self); 5] = [
        ("cellar", Self::Cellar),
        ("order-desk", Self::OrderDesk),
        ("flip-flop", Self::FlipFlop),
        ("straggler", Self::Straggler),
        ("static", Self::Static),
    ];
}

struct Wave {
    from: f32,
    until: f32,
    rises: Vec<[(usize, f32); WAVE_EXPERTS]>,
}

impl Wave {
    /// Height from 0 to 1 at second `at`.
    fn height(&self, at: f32) -> f32 {
        let rise = (at - self.from) / WAVE_RAMP_S;
        let fall = (self.until - at) / WAVE_RAMP_S;
        rise.min(fall).clamp(0.0, 1.0)
    }
}

#[derive(Clone, Copy)]
struct Swing {
    period: f32,
    phase: f32,
    height: f32,
}

/// Popularity at any second of one run.
pub(crate) struct Trace {
    kind: Kind,
    seconds: u64,
    ranks: u16,
    base: Vec<Vec<f32>>,
    other: Vec<Vec<f32>>,
    swings: Vec<Vec<Swing>>,
    waves: Vec<Wave>,
}

impl Trace {
    /// Draws a trace of `seconds` seconds for `layers` layers and `ranks` ranks.
    pub(crate) fn draw(kind: Kind, layers: u16, ranks: u16, seconds: u64, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = || -> Vec<Vec<f32>> {
            let mut row = || (0..EXPERTS).map(|_| BASE_SPREAD * normal(&mut rng)).collect();
            (0..layers).map(|_| row()).collect()
        };
        let (base, other) = (table(), table());
        let swings = base.iter().map(|row| row.iter().map(|_| swing(&mut rng)).collect()).collect();
        let waves = if kind == Kind::OrderDesk {
            draw_waves(layers, seconds, &mut rng)
        } else {
            Vec::new()
        };
        Self { kind, seconds, ranks, base, other, swings, waves }
    }

    /// Shares of a layer's experts at second `at`.
    pub(crate) fn shares(&self, layer: usize, at: u64) -> Vec<f32> {
        let mut logs = self.base[layer].clone();
        let flipped = self.kind == Kind::FlipFlop && (at / FLIP_S) % 2 == 1;
        if flipped {
            logs.clone_from(&self.other[layer]);
        }
        let drifts = matches!(self.kind, Kind::Cellar | Kind::OrderDesk);
        if drifts {
            let height = if self.kind == Kind::Cellar { 1.0 } else { 0.2 };
            for (log, swing) in logs.iter_mut().zip(&self.swings[layer]) {
                let angle = TAU * at as f32 / swing.period + swing.phase;
                *log += height * swing.height * angle.sin();
            }
        }
        for wave in &self.waves {
            let height = wave.height(at as f32);
            wave.rises[layer].iter().for_each(|&(expert, rise)| logs[expert] += height * rise);
        }
        let weights: Vec<f32> = logs.iter().map(|l| l.exp()).collect();
        let sum: f32 = weights.iter().sum();
        weights.iter().map(|w| w / sum).collect()
    }

    /// Whether a wave is on at second `at`.
    pub(crate) fn in_wave(&self, at: u64) -> bool {
        self.waves.iter().any(|w| w.height(at as f32) > 0.0)
    }

    /// Slowdown of each rank at second `at`.
    pub(crate) fn pace(&self, at: u64) -> Vec<f32> {
        let mut pace = vec![1.0; self.ranks.into()];
        let middle = self.seconds / 4..self.seconds * 3 / 4;
        if self.kind == Kind::Straggler && middle.contains(&at) {
            pace[usize::from(self.ranks) / 2] = STRAGGLER_PACE;
        }
        pace
    }
}

fn swing(rng: &mut StdRng) -> Swing {
    let period = rng.random_range(DRIFT_PERIOD_S[0]..DRIFT_PERIOD_S[1]);
    Swing { period, phase: rng.random_range(0.0..TAU), height: DRIFT * normal(rng).abs() }
}

fn draw_waves(layers: u16, seconds: u64, rng: &mut StdRng) -> Vec<Wave> {
    let mut waves = Vec::new();
    let mut at = 0.0;
    while at < seconds as f32 {
        let gap: f32 = rng.random_range(0.3..1.7);
        let from = at + gap * WAVE_GAP_S;
        let until = from + rng.random_range(WAVE_S[0]..WAVE_S[1]);
        let rises = (0..layers).map(|_| draw_rises(rng)).collect();
        waves.push(Wave { from, until, rises });
        at = until;
    }
    waves
}

fn draw_rises(rng: &mut StdRng) -> [(usize, f32); WAVE_EXPERTS] {
    std::array::from_fn(|_| {
        let expert = rng.random_range(0..usize::from(EXPERTS));
        (expert, rng.random_range(WAVE_RISE[0]..WAVE_RISE[1]))
    })
}

/// A nearly normal number with mean 0 and variance 1: the scaled sum of three even ones.
pub(crate) fn normal(rng: &mut StdRng) -> f32 {
    let sum: f32 = (0..3).map(|_| rng.random_range(-1.0f32..1.0)).sum();
    sum
}
