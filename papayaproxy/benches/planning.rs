//! Time to plan the moves of experts, with 128 experts, 60 layers and 16 to 256 ranks.

use criterion::{BenchmarkId, Criterion};
use papayaproxy::experts::{
    ExpertCount, ExpertMap, LoadCost, PlanInput, Popularity, RankReport, Shape, Weights, decide,
    lay_out,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const EXPERTS: u16 = 128;
const LAYERS: u16 = 60;
const WINDOW: Duration = Duration::from_secs(30);

/// Share of each expert in the tokens of each layer, with the skew of a real model.
fn expert_shares(rng: &mut StdRng) -> Vec<Vec<f32>> {
    let mut layer_shares = || {
        let weights = (0..EXPERTS).map(|_| rng.random_range(-1.2f32..1.2).exp());
        let weights: Vec<f32> = weights.collect();
        let sum: f32 = weights.iter().sum();
        weights.iter().map(|w| w / sum).collect()
    };
    (0..LAYERS).map(|_| layer_shares()).collect()
}

fn report_window(popularity: &mut Popularity, map: &ExpertMap, window: u64, shares: &[Vec<f32>]) {
    let slots = usize::from(map.shape.slots);
    for rank in 0..map.shape.ranks {
        let from = usize::from(rank) * slots;
        let mut counts = Vec::new();
        for (layer, placed) in (0..).zip(&map.layers) {
            let replicas = placed.replicas(EXPERTS.into());
            for &expert in &placed.slots[from..from + slots] {
                let index = usize::from(expert);
                let share = shares[usize::from(layer)][index] / f32::from(replicas[index]);
                let tokens = (share * 1e7) as u32;
                counts.push(ExpertCount { layer, expert, tokens, replicas: replicas[index] });
            }
        }
        let report = RankReport { rank, window, counts, busy: WINDOW };
        let now = WINDOW * (window as u32 + 1);
        assert!(popularity.record(now, &report).is_ok());
    }
}

/// A map laid out for other shares than those measured, so that every layer has to be searched.
fn situation(ranks: u16, slots: u16) -> (ExpertMap, Popularity) {
    let shape = Shape { ranks, layers: LAYERS, experts: EXPERTS, slots };
    let mut rng = StdRng::seed_from_u64(1);
    let even = vec![1.0; ranks.into()];
    let old = expert_shares(&mut rng);
    let layers = old.iter().map(|s| lay_out(s, &even, shape)).collect();
    let map = ExpertMap { shape, layers };
    let mut popularity = Popularity::new(shape, WINDOW);
    let current = expert_shares(&mut rng);
    (0..8).for_each(|w| report_window(&mut popularity, &map, w, &current));
    (map, popularity)
}

fn bench_planning(c: &mut Criterion) {
    let mut group = c.benchmark_group("planning");
    group.sample_size(20);
    for (ranks, slots) in [(16, 10), (64, 3), (128, 2), (256, 2)] {
        let (map, popularity) = situation(ranks, slots);
        let pace = vec![1.0; ranks.into()];
        let at = PlanInput {
            map: &map,
            popularity: &popularity,
            slowdowns: &pace,
            weights: Weights { skew: 4.0, moved: 1.0 },
            load: LoadCost { bytes: 44_000_000, rate: 250e6 },
        };
        group.bench_function(BenchmarkId::from_parameter(ranks), |b| {
            b.iter(|| decide(WINDOW * 8, &at));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_planning(&mut criterion);
    criterion.final_summary();
}
