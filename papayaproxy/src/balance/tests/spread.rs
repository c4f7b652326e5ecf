//! Choice of an upstream by many entries whose load reports are some hundred milliseconds old.

use crate::balance::spread::{Candidate, choose};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::ops::RangeInclusive;

fn candidates(scores: &[f64]) -> Vec<Candidate> {
    let candidate = |(index, score): (usize, &f64)| Candidate { index, score: *score, step: 0.1 };
    scores.iter().enumerate().map(candidate).collect()
}

#[test]
fn choose_fresh_report_best() {
    let scores = [0.4, 0.1, 0.3];
    assert_eq!(choose(candidates(&scores), 0.0, 0.99), Some(1));
    assert_eq!(choose(Vec::new(), 5.0, 0.5), None);
}

#[rstest]
#[case::below_the_next(1.0, [1.0, 0.0, 0.0])]
#[case::two_filled(4.0, [0.75, 0.25, 0.0])]
#[case::all_alike(1e6, [1.0 / 3.0, 1.0 / 3.0, 1.0 / 3.0])]
fn choose_unseen_fills_to_one_level(#[case] unseen: f64, #[case] expected: [f64; 3]) {
    let scores = [0.1, 0.3, 0.9];
    let mut counts = [0.0; 3];
    for draw in 0..1000 {
        let chosen = choose(candidates(&scores), unseen, f64::from(draw) / 1000.0).unwrap();
        counts[chosen] += 0.001;
    }
    for (count, expected) in counts.iter().zip(expected) {
        assert!((count - expected).abs() < 0.01, "{counts:?}");
    }
}

/// With out-of-date load reports, entries must not overload the upstream that looks least loaded:
/// no replica gets more requests than its 10 slots and 20 queue places take. 30 entries send 250
/// requests per second, of 2 s each, to 64 replicas, with reports up to 0.5 s old. If all choose
/// the least loaded replica by the old reports, some exceed this.
#[rstest]
#[case::spread(true, 0..=30)]
#[case::least_loaded(false, 31..=500)]
fn choose_late_reports_level(#[case] spread: bool, #[case] expected: RangeInclusive<u32>) {
    const REPLICAS: usize = 64;
    const REQUESTS: usize = 5000;
    const CONCURRENT: usize = 500;
    const REPORT_INTERVAL: usize = 112;
    let mut random = SmallRng::seed_from_u64(7);
    let mut load = [0u32; REPLICAS];
    let mut sent = Vec::new();
    let mut reported = load;
    let mut peak = 0;
    for index in 0..REQUESTS {
        if index % REPORT_INTERVAL == 0 {
            reported = load;
        }
        let score = |l: &u32| f64::from(*l) * 0.1 + random.random::<f64>() * 0.05;
        let scores: Vec<f64> = reported.iter().map(score).collect();
        let unseen = if spread { REPORT_INTERVAL as f64 / 2.0 } else { 0.0 };
        let chosen = choose(candidates(&scores), unseen, random.random()).unwrap();
        load[chosen] += 1;
        sent.push(chosen);
        if index >= CONCURRENT {
            load[sent[index - CONCURRENT]] -= 1;
        }
        peak = peak.max(load[chosen]);
    }
    assert!(expected.contains(&peak), "{peak}");
}
