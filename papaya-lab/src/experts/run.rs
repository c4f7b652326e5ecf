//! Runs one policy on one trace in virtual time.

use super::constants::{
    EXPERTS, REPORT_LAG_S, REPORTS_LOST, REQUESTS_PER_RANK, STEP, STEPS_PER_SECOND,
    TOKENS_PER_RANK, WARM_S, slots,
};
use super::group::Group;
use super::policy::{Planner, Policy, View};
use super::trace::{Kind, Trace, normal};
use papayaproxy::experts::{
    ExpertCount, Popularity, RankReport, Shape, StragglerDetector, load_lower_bound,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// What is run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    /// Drift of popularity.
    pub(crate) kind: Kind,
    /// Policy.
    pub(crate) policy: Policy,
    /// Ranks.
    pub(crate) ranks: u16,
    /// Layers.
    pub(crate) layers: u16,
    /// Virtual time in seconds.
    pub(crate) seconds: u64,
    /// Seed of trace and noise.
    pub(crate) seed: u64,
}

/// One second of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    /// Virtual time in seconds.
    pub(crate) second: u64,
    /// Slowest rank's time over the mean rank's time.
    pub(crate) skew: f64,
    /// Lower bound of the skew with these slots.
    pub(crate) bound: f64,
    /// Step time in milliseconds.
    pub(crate) step_ms: f64,
    /// Loads on their way.
    pub(crate) loading: u32,
    /// Whether a wave is on.
    pub(crate) wave: bool,
}

/// What a run cost and reached after its first plan.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// Every second of the run.
    pub(crate) samples: Vec<Sample>,
    /// Loads after the first plan.
    pub(crate) moves: u64,
    /// Bytes after the first plan.
    pub(crate) bytes: u64,
    /// Switches after the first plan.
    pub(crate) switches: u64,
    /// Delay of requests by loads after the first plan, in request-milliseconds.
    pub(crate) delay_ms: f64,
}

impl Outcome {
    /// Samples that count.
    pub(crate) fn counted(&self) -> impl Iterator<Item = &Sample> {
        self.samples.iter().filter(|s| s.second >= WARM_S)
    }

    /// Mean skew.
    pub(crate) fn skew(&self) -> f64 {
        mean(self.counted().map(|s| s.skew))
    }

    /// Mean lower bound of skew.
    pub(crate) fn bound(&self) -> f64 {
        mean(self.counted().map(|s| s.bound))
    }

    /// Mean step time in milliseconds.
    pub(crate) fn step(&self) -> f64 {
        mean(self.counted().map(|s| s.step_ms))
    }

    /// Step time in milliseconds that 99 of 100 steps keep; in waves where there are any.
    pub(crate) fn p99(&self) -> f64 {
        let waves = self.counted().any(|s| s.wave);
        let mut times: Vec<f64> =
            self.counted().filter(|s| s.wave == waves).map(|s| s.step_ms).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() * 99 / 100).copied().unwrap_or_default()
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(s, c), v| (s + v, c + 1));
    sum / f64::from(count.max(1))
}

/// The shape of a group of `ranks` ranks.
pub(crate) fn shape(ranks: u16, layers: u16) -> Shape {
    Shape { ranks, layers, experts: EXPERTS, slots: slots(ranks) }
}

/// Time between two computations of the lower bound, in seconds.
const BOUND_EVERY_S: u64 = 10;

/// Layers that set the length of the report windows, whatever the layers of a run.
const WINDOW_LAYERS: u16 = 60;

struct Run {
    setup: Setup,
    shape: Shape,
    trace: Trace,
    group: Group,
    planner: Planner,
    popularity: Popularity,
    paces: StragglerDetector,
    noise: StdRng,
    luck: StdRng,
    window: u64,
    bound: f64,
    shares: Vec<Vec<f32>>,
    summed: Vec<Vec<f32>>,
    reports: Vec<(u64, RankReport)>,
}

/// Runs `setup` to its end.
pub(crate) fn run(setup: Setup) -> Outcome {
    let shape = shape(setup.ranks, setup.layers);
    let window = Shape { layers: WINDOW_LAYERS, ..shape }.report_window();
    let trace = Trace::draw(setup.kind, setup.layers, setup.ranks, setup.seconds, setup.seed);
    let empty = vec![vec![0.0; EXPERTS.into()]; setup.layers.into()];
    let mut run = Run {
        setup,
        shape,
        trace,
        group: Group::open(shape),
        planner: Planner::open(setup.policy),
        popularity: Popularity::new(shape, window),
        paces: StragglerDetector::new(setup.ranks),
        noise: StdRng::seed_from_u64(setup.seed ^ 0x6e6f),
        luck: StdRng::seed_from_u64(setup.seed ^ 0x6c75),
        window: window.as_secs(),
        bound: 1.0,
        shares: empty.clone(),
        summed: empty,
        reports: Vec::new(),
    };
    run.finish()
}

impl Run {
    fn finish(&mut self) -> Outcome {
        let mut samples = Vec::new();
        let mut delay_ms = 0.0;
        let mut before = (0, 0, 0);
        for second in 0..self.setup.seconds {
            if second == WARM_S {
                before = (self.group.loads, self.group.bytes, self.group.switches);
            }
            let (sample, delay) = self.second(second);
            if second >= WARM_S {
                delay_ms += delay;
            }
            samples.push(sample);
        }
        Outcome {
            samples,
            moves: self.group.loads - before.0,
            bytes: self.group.bytes - before.1,
            switches: self.group.switches - before.2,
            delay_ms,
        }
    }

    fn second(&mut self, second: u64) -> (Sample, f64) {
        for layer in 0..self.shares.len() {
            self.shares[layer] = self.trace.shares(layer, second);
        }
        let pace = self.trace.pace(second);
        self.deliver(second);
        if self.group.is_idle() {
            self.plan(second);
        }
        let drawn = self.draw_step();
        let time = self.group.time(&drawn, &pace);
        if second.is_multiple_of(BOUND_EVERY_S) {
            self.bound = self.bound();
        }
        self.count(second, &pace);
        let loading = self.group.loading();
        self.group.advance();
        let layers = f64::from(self.setup.layers);
        let unit = STEP.as_secs_f64() * 1000.0 / layers;
        let requests = REQUESTS_PER_RANK * f64::from(self.setup.ranks);
        let lost = (time.slowest - time.unloaded) * unit * STEPS_PER_SECOND as f64;
        let sample = Sample {
            second,
            skew: time.slowest / time.mean,
            bound: self.bound,
            step_ms: time.slowest * unit,
            loading,
            wave: self.trace.in_wave(second),
        };
        (sample, lost * requests)
    }

    /// Token shares of one step, with the chance of its tokens.
    fn draw_step(&mut self) -> Vec<Vec<f32>> {
        let tokens = TOKENS_PER_RANK * f32::from(self.setup.ranks);
        let noise = &mut self.noise;
        let mut draw = |share: &f32| {
            let mean = share * tokens;
            (mean + mean.sqrt() * normal(noise)).max(0.0) / tokens
        };
        self.shares.iter().map(|row| row.iter().map(&mut draw).collect()).collect()
    }

    fn bound(&self) -> f64 {
        let ranks = f64::from(self.setup.ranks);
        let low = |row: &Vec<f32>| f64::from(load_lower_bound(row, self.shape)) * ranks;
        mean(self.shares.iter().map(low))
    }

    /// Counts the second's tokens, and reports them at the end of a window.
    fn count(&mut self, second: u64, pace: &[f32]) {
        let tokens = TOKENS_PER_RANK * f32::from(self.setup.ranks) * STEPS_PER_SECOND as f32;
        for (sums, shares) in self.summed.iter_mut().zip(&self.shares) {
            sums.iter_mut().zip(shares).for_each(|(sum, share)| *sum += share * tokens);
        }
        if !(second + 1).is_multiple_of(self.window) {
            return;
        }
        for rank in 0..self.setup.ranks {
            let report = self.report(rank, second / self.window, pace);
            let lost = self.luck.random_range(0..100u32) < REPORTS_LOST;
            let late = self.luck.random_range(0..=REPORT_LAG_S);
            if !lost {
                self.reports.push((second + REPORT_LAG_S + late, report));
            }
        }
        self.summed.iter_mut().for_each(|row| row.fill(0.0));
    }

    fn report(&mut self, rank: u16, window: u64, pace: &[f32]) -> RankReport {
        let slots = usize::from(self.shape.slots);
        let from = usize::from(rank) * slots;
        let mut counts = Vec::new();
        let mut total = 0.0;
        for (layer, placed) in (0..).zip(&self.group.map().layers) {
            let replicas = placed.replicas(EXPERTS.into());
            let mut own = placed.slots[from..from + slots].to_vec();
            own.sort_unstable();
            own.dedup();
            for expert in own {
                let index = usize::from(expert);
                let mean = self.summed[usize::from(layer)][index] / f32::from(replicas[index]);
                let tokens = (mean + mean.sqrt() * normal(&mut self.luck)).max(0.0);
                total += tokens;
                let (tokens, replicas) = (tokens as u32, replicas[index]);
                counts.push(ExpertCount { layer, expert, tokens, replicas });
            }
        }
        let seconds = total * pace[usize::from(rank)] * 1e-7;
        RankReport { rank, window, counts, busy: Duration::from_secs_f32(seconds) }
    }

    fn deliver(&mut self, second: u64) {
        let now = Duration::from_secs(second);
        let waiting = std::mem::take(&mut self.reports);
        let (due, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|r| r.0 <= second);
        self.reports = rest;
        for (_, report) in due {
            if self.popularity.record(now, &report).is_ok() {
                self.paces.record(&report);
            }
        }
    }

    fn plan(&mut self, second: u64) {
        let view = View {
            second,
            map: self.group.map(),
            popularity: &self.popularity,
            paces: &self.paces,
        };
        if let Some(map) = self.planner.next(&view) {
            self.group.propose(map);
        }
    }
}
