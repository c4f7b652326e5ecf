//! Measures each way in turn, several rounds in one run.

use super::drive::{Pace, drive};
use super::rig::{Rig, Way};
use super::summary::{Phase, Row};
use std::io;
use std::time::Duration;

/// Part of the highest rate of entry and agent at which latency is measured besides.
const HALF: f64 = 0.5;

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BenchSettings {
    /// Rounds; each takes every way in turn.
    pub(crate) rounds: u32,
    /// How long each measurement lasts.
    pub(crate) duration: Duration,
    /// Connections of the measurements under load.
    pub(crate) connections: usize,
}

/// Runs all rounds. `tell` gets a line for each measurement.
///
/// # Errors
/// A process is gone.
pub(crate) async fn run_rounds(
    rig: &Rig,
    settings: BenchSettings,
    tell: impl Fn(&str),
) -> io::Result<Vec<Row>> {
    let pace = |connections, rate| Pace { connections, rate, duration: settings.duration };
    let mut rows = Vec::new();
    for round in 1..=settings.rounds {
        let mut slowest = f64::MAX;
        for way in &rig.ways {
            let row = measure(way, round, Phase::Full, pace(settings.connections, None)).await?;
            slowest = slowest.min(row.rate);
            tell(&row.to_string());
            rows.push(row);
        }
        // The rate is that of the slowest way, so that all are compared at the same load.
        let half = Some(slowest * HALF);
        for (phase, pace) in
            [(Phase::Half, pace(settings.connections, half)), (Phase::Single, pace(1, None))]
        {
            for way in &rig.ways {
                let row = measure(way, round, phase, pace).await?;
                tell(&row.to_string());
                rows.push(row);
            }
        }
    }
    Ok(rows)
}

async fn measure(way: &Way, round: u32, phase: Phase, pace: Pace) -> io::Result<Row> {
    let before = way.cpu_time()?;
    let run = drive(way.address, &way.shot, pace).await;
    let used = way.cpu_time()?.saturating_sub(before);
    Ok(Row {
        way: way.name.to_owned(),
        phase,
        round,
        rate: run.rate(),
        failed: run.failed,
        p50_us: run.times.value_at_quantile(0.50),
        p99_us: run.times.value_at_quantile(0.99),
        cpu_ms: used.as_millis() as u64,
        count: run.times.len(),
    })
}
