//! The parts of the experiment and their tables.

use super::faults::{Fault, FaultKind};
use super::figures::{Figures, quantile};
use super::policy::{OURS, POLICIES, Policy};
use super::workload::{Arrival, Burst, Shape, arrivals};
use super::world::{Plan, run};
use std::time::Duration;

/// Virtual time before the measured part of a run.
const WARM: Duration = Duration::from_secs(30);

/// Parts of the capacity that are offered in the comparison.
const LOADS: [f64; 3] = [0.5, 0.7, 0.85];

/// Lags of the load reports in the comparison, in milliseconds.
const LAGS_MS: [u64; 3] = [100, 1000, 3000];

/// Lag in the overload and fault runs.
const LAG: Duration = Duration::from_secs(1);

/// Load before, under and after a fault, as a part of the capacity.
const FAULT_LOAD: f64 = 0.7;

/// Loads beside and without the overload, as parts of the capacity.
const BASE_LOADS: [f64; 2] = [0.6, 0.8];

/// What all runs of a part share.
pub(crate) struct Scale {
    pub shape: Shape,
    /// Measured virtual seconds.
    pub seconds: u64,
    /// Requests per second.
    pub capacity: f64,
}

impl Scale {
    fn span(&self) -> Duration {
        WARM + Duration::from_secs(self.seconds)
    }

    fn plan<'a>(&self, policy: Policy, arrivals: &'a [Arrival], lag: Duration) -> Plan<'a> {
        Plan {
            policy,
            arrivals,
            lag,
            warm: WARM,
            span: self.span(),
            faults: &[],
            seed: self.shape.seed,
            queues: true,
        }
    }
}

/// Runs every policy at each load and lag.
pub(crate) fn compare(scale: &Scale) {
    println!(
        "| load | lag s | policy | first p50 | p95 | p99 ms | between p50 | p95 | p99 ms | hit % | in time/s | refused | late | lost | plain p95 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for load in LOADS {
        let arrivals = arrivals(scale.shape, scale.capacity * load, scale.span(), None);
        let cells: Vec<(u64, Policy)> =
            LAGS_MS.iter().flat_map(|&lag| POLICIES.map(|p| (lag, p))).collect();
        let lines = in_parallel(&cells, |(lag, policy)| {
            let plan = scale.plan(*policy, &arrivals, Duration::from_millis(*lag));
            let figures = run(&plan).figures;
            compare_line(load, *lag, policy.name, &figures, scale.seconds)
        });
        lines.iter().for_each(|line| println!("{line}"));
    }
}

fn compare_line(load: f64, lag: u64, name: &str, f: &Figures, seconds: u64) -> String {
    format!(
        "| {load} | {} | {name} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {} | {} | {} | {:.0} |",
        lag as f64 / 1e3,
        f.first(0.5),
        f.first(0.95),
        f.first(0.99),
        f.gap(0.5),
        f.gap(0.95),
        f.gap(0.99),
        f.hit_rate() * 100.0,
        f.in_time as f64 / seconds as f64,
        f.refused,
        f.late,
        f.lost,
        f.plain(0.95),
    )
}

/// One workspace goes over its share, so that the whole load is a multiple of the capacity.
pub(crate) fn overload(scale: &Scale) {
    println!(
        "| overload | base load | over the share | goodput % of capacity | first p95 of the others ms | without | refused others | retries % | calm after s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let kinds = [(1.5, true), (3.0, true), (1.5, false), (3.0, false)];
    let cells: Vec<_> = BASE_LOADS.iter().flat_map(|&b| kinds.map(|(f, q)| (b, f, q))).collect();
    let lines =
        in_parallel(&cells, |(base, factor, queues)| overload_line(scale, *base, *factor, *queues));
    lines.iter().for_each(|line| println!("{line}"));
}

fn overload_line(scale: &Scale, base: f64, factor: f64, queues: bool) -> String {
    let from = WARM + Duration::from_secs(scale.seconds / 4);
    let until = WARM + Duration::from_secs(scale.seconds * 3 / 4);
    let rate = scale.capacity * (factor - base);
    let burst = Burst { from, until, rate };
    let run_with = |burst| {
        let arrivals = arrivals(scale.shape, scale.capacity * base, scale.span(), burst);
        let plan = Plan { queues, ..scale.plan(OURS, &arrivals, LAG) };
        let world = run(&plan);
        world.figures
    };
    let calm = run_with(None);
    let busy = run_with(Some(burst));
    let window = from.as_secs() as usize + 2..until.as_secs() as usize;
    let good: u64 = busy.by_second[window.clone()].iter().sum();
    let goodput = good as f64 / window.len() as f64 / scale.capacity * 100.0;
    let over = if queues { "waits" } else { "is refused" };
    format!(
        "| {factor} | {base} | {over} | {goodput:.1} | {:.0} | {:.0} | {} | {:.1} | {} |",
        busy.calm(0.95),
        calm.calm(0.95),
        busy.calm_refused,
        busy.retries as f64 / busy.offered as f64 * 100.0,
        seconds_until_calm(&busy, &calm, until.as_secs() as usize),
    )
}

/// Seconds after `from` until the p95 of the first token of a second is near that of a calm run.
fn seconds_until_calm(busy: &Figures, calm: &Figures, from: usize) -> usize {
    let limit = calm.first(0.95) * 1.3;
    let later = busy.first_by_second[from..].iter();
    later.take_while(|s| quantile(s, 0.95) > limit).count()
}

/// Runs each fault under a steady load.
pub(crate) fn faults(scale: &Scale) {
    println!(
        "| fault | policy | lost | late | refused | first p95 | p99 ms | retries % | circuit changes | moved after s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let arrivals = arrivals(scale.shape, scale.capacity * FAULT_LOAD, scale.span(), None);
    let kinds = [
        ("none", None),
        ("an engine stalls", Some(FaultKind::Stall(4))),
        ("an engine errs", Some(FaultKind::Errors(4))),
        ("a rank straggles", Some(FaultKind::Straggler)),
        ("a zone is cut off", Some(FaultKind::Cut)),
        ("reports freeze", Some(FaultKind::Freeze)),
    ];
    let policies = [POLICIES[1], OURS];
    let cells: Vec<_> = kinds.iter().flat_map(|k| policies.map(|p| (*k, p))).collect();
    let lines = in_parallel(&cells, |((name, kind), policy)| {
        fault_line(scale, &arrivals, name, *kind, *policy)
    });
    lines.iter().for_each(|line| println!("{line}"));
}

fn fault_line(
    scale: &Scale,
    arrivals: &[Arrival],
    name: &str,
    kind: Option<FaultKind>,
    policy: Policy,
) -> String {
    let from = WARM + Duration::from_secs(scale.seconds / 4);
    let until = WARM + Duration::from_secs(scale.seconds * 3 / 4);
    let faults: Vec<Fault> = kind.map(|kind| Fault { kind, from, until }).into_iter().collect();
    let plan = Plan { faults: &faults, ..scale.plan(policy, arrivals, LAG) };
    let world = run(&plan);
    let f = &world.figures;
    let moved = match kind {
        Some(FaultKind::Stall(i) | FaultKind::Errors(i)) => {
            moved_after(&world.sends[i], from, until)
        }
        _ => "-".into(),
    };
    format!(
        "| {name} | {} | {} | {} | {} | {:.0} | {:.0} | {:.1} | {} | {moved} |",
        policy.name,
        f.lost,
        f.late,
        f.refused,
        f.first(0.95),
        f.first(0.99),
        f.retries as f64 / f.offered as f64 * 100.0,
        f.changes,
    )
}

/// Seconds until a second's sends to an upstream fall below a fifth of what they were.
fn moved_after(sends: &[u32], from: Duration, until: Duration) -> String {
    let slot = |at: Duration| (at.as_millis() / 500) as usize;
    let before = &sends[slot(WARM)..slot(from)];
    let usual = f64::from(before.iter().sum::<u32>()) / before.len() as f64;
    let during = (slot(from)..slot(until)).map(|i| sends.get(i).copied().unwrap_or(0));
    let during: Vec<u32> = during.collect();
    let moved = during.windows(2).position(|w| f64::from(w[0] + w[1]) <= usual * 2.0 * 0.2);
    moved.map_or("never".into(), |i| format!("{:.1}", i as f64 / 2.0))
}

/// Threads that runs are spread over.
const THREADS: usize = 3;

/// Maps `cells` on a few threads, keeping their order.
fn in_parallel<T: Sync>(cells: &[T], work: impl Fn(&T) -> String + Sync) -> Vec<String> {
    let mut lines: Vec<String> = vec![String::new(); cells.len()];
    let part = cells.len().div_ceil(THREADS);
    std::thread::scope(|scope| {
        for (cells, lines) in cells.chunks(part).zip(lines.chunks_mut(part)) {
            let work = &work;
            scope.spawn(move || {
                for (cell, line) in cells.iter().zip(lines) {
                    *line = work(cell);
                }
            });
        }
    });
    lines
}
