//! Writes results as CSV and SVG.

use super::run::Outcome;
use plotters::prelude::*;
use std::fmt::Write as _;
use std::io;
use std::path::Path;

/// Size of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (1200, 600);

/// One row of the table of results.
pub(crate) struct Row {
    /// Trace.
    pub(crate) trace: &'static str,
    /// Policy.
    pub(crate) policy: &'static str,
    /// Ranks.
    pub(crate) ranks: u16,
    /// Seed, or `median`.
    pub(crate) seed: String,
    /// The figures.
    pub(crate) figures: Figures,
}

/// Figures of one run, or medians of several.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Figures {
    /// Mean skew.
    pub(crate) skew: f64,
    /// Mean lower bound of skew.
    pub(crate) bound: f64,
    /// Mean step time in milliseconds.
    pub(crate) step_ms: f64,
    /// 99th percentile of step time in milliseconds; in waves where there are any.
    pub(crate) p99_ms: f64,
    /// Loads after the first plan.
    pub(crate) moves: f64,
    /// Gigabytes loaded after the first plan.
    pub(crate) gigabytes: f64,
    /// Switches after the first plan.
    pub(crate) switches: f64,
    /// Delay by loads in request-seconds.
    pub(crate) delay_s: f64,
}

impl Figures {
    /// The figures of a run.
    pub(crate) fn of(outcome: &Outcome) -> Self {
        Self {
            skew: outcome.skew(),
            bound: outcome.bound(),
            step_ms: outcome.step(),
            p99_ms: outcome.p99(),
            moves: outcome.moves as f64,
            gigabytes: outcome.bytes as f64 / 1e9,
            switches: outcome.switches as f64,
            delay_s: outcome.delay_ms / 1e3,
        }
    }

    /// Medians of several runs, figure by figure.
    pub(crate) fn median(all: &[Self]) -> Self {
        let middle = |pick: fn(&Self) -> f64| {
            let mut values: Vec<f64> = all.iter().map(pick).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        Self {
            skew: middle(|f| f.skew),
            bound: middle(|f| f.bound),
            step_ms: middle(|f| f.step_ms),
            p99_ms: middle(|f| f.p99_ms),
            moves: middle(|f| f.moves),
            gigabytes: middle(|f| f.gigabytes),
            switches: middle(|f| f.switches),
            delay_s: middle(|f| f.delay_s),
        }
    }
}

/// The head of the table of results.
pub(crate) const HEAD: &str =
    "trace,ranks,policy,seed,skew,bound,step_ms,p99_ms,moves,gigabytes,switches,delay_s";

/// One line of the table of results.
pub(crate) fn line(row: &Row) -> String {
    let Row { trace, policy, ranks, seed, figures: f } = row;
    format!(
        "{trace},{ranks},{policy},{seed},{:.4},{:.4},{:.3},{:.3},{:.0},{:.1},{:.0},{:.1}",
        f.skew, f.bound, f.step_ms, f.p99_ms, f.moves, f.gigabytes, f.switches, f.delay_s
    )
}

/// Writes a run second by second.
///
/// # Errors
/// Where the file cannot be written.
pub(crate) fn write_series(path: &Path, runs: &[(&'static str, Outcome)]) -> io::Result<()> {
    let mut text = "policy,second,skew,bound,step_ms,loading,wave\n".to_owned();
    for (policy, outcome) in runs {
        for s in &outcome.samples {
            let wave = u8::from(s.wave);
            _ = writeln!(
                text,
                "{policy},{},{:.4},{:.4},{:.3},{},{wave}",
                s.second, s.skew, s.bound, s.step_ms, s.loading
            );
        }
    }
    std::fs::write(path, text)
}

/// Plots skew over time, with a dot for each second in which experts are loaded.
///
/// # Errors
/// Where the file cannot be written.
pub(crate) fn plot(
    path: &Path,
    title: &str,
    runs: &[(&'static str, Outcome)],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let samples = || runs.iter().flat_map(|(_, o)| o.counted());
    let top = samples().map(|s| s.skew).fold(1.0, f64::max);
    let end = samples().map(|s| s.second).max().unwrap_or(1) as f64 / 60.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 1.0..top)?;
    chart.configure_mesh().x_desc("minutes").y_desc("skew").draw()?;
    for (index, (name, outcome)) in runs.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let point = |s: &super::run::Sample| (s.second as f64 / 60.0, s.skew);
        let line = LineSeries::new(outcome.counted().map(point), color);
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color);
        chart.draw_series(line)?.label(*name).legend(legend);
        let moving = outcome.counted().filter(|s| s.loading > 0);
        let dot = |s| Circle::new(point(s), 3, color.filled());
        chart.draw_series(moving.map(dot))?;
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
