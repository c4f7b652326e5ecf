//! The bench's figures.

use serde::Serialize;
use std::fmt;

/// Added latency at the median that entry and agent may cost at half load, in microseconds.
const ADDED_P50_LIMIT: i64 = 150;

/// Added latency at the 99th percentile that they may cost at half load, in microseconds.
const ADDED_P99_LIMIT: i64 = 1000;

/// Part of the forwarder's requests per core that they have to reach.
const PER_CORE_LIMIT: f64 = 0.5;

/// How a measurement loads a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Phase {
    /// As many requests as all connections can send.
    Full,
    /// Half the highest rate of the slowest way, over all connections.
    Half,
    /// One connection, one request at a time.
    Single,
}

/// One measurement.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) way: String,
    pub(crate) phase: Phase,
    pub(crate) round: u32,
    /// Requests a second.
    pub(crate) rate: f64,
    pub(crate) failed: u64,
    pub(crate) p50_us: u64,
    pub(crate) p99_us: u64,
    /// Processor time of the processes between, in milliseconds.
    pub(crate) cpu_ms: u64,
    pub(crate) count: u64,
}

impl Row {
    /// Requests a second that one core carries in the processes between.
    fn per_core(&self) -> f64 {
        self.count as f64 * 1000.0 / self.cpu_ms.max(1) as f64
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let phase = format!("{:?}", self.phase).to_lowercase();
        write!(
            f,
            "round {} {phase:6} {:12} {:8.0}/s  p50 {:6} us  p99 {:6} us  cpu {:6} ms  failed {}",
            self.round, self.way, self.rate, self.p50_us, self.p99_us, self.cpu_ms, self.failed
        )
    }
}

/// Medians over the rounds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Summary {
    pub(crate) rows: Vec<Row>,
    /// The machine's load averages over a minute, before and after. Above its number of cores the
    /// times tell more of the neighbours than of the ways.
    pub(crate) machine: [String; 2],
}

impl Summary {
    /// The median over the rounds of a figure of a way in a phase.
    fn median(&self, way: &str, phase: Phase, figure: impl Fn(&Row) -> f64) -> f64 {
        let fitting = self.rows.iter().filter(|r| r.way == way && r.phase == phase);
        let mut found: Vec<f64> = fitting.map(figure).collect();
        found.sort_by(f64::total_cmp);
        found.get(found.len() / 2).copied().unwrap_or(f64::NAN)
    }

    /// Latency that a way adds over the direct one, in microseconds.
    pub(crate) fn added(&self, way: &str, phase: Phase, figure: fn(&Row) -> u64) -> i64 {
        let figure = |row: &Row| figure(row) as f64;
        (self.median(way, phase, figure) - self.median("direct", phase, figure)) as i64
    }

    /// Requests a second that one core carries, under full load.
    pub(crate) fn per_core(&self, way: &str) -> f64 {
        self.median(way, Phase::Full, Row::per_core)
    }

    /// Whether the stated targets are met.
    pub(crate) fn targets_met(&self) -> bool {
        let own = "entry+agent";
        let ratio = self.per_core(own) / self.per_core("forwarder");
        self.added(own, Phase::Half, |r| r.p50_us) <= ADDED_P50_LIMIT
            && self.added(own, Phase::Half, |r| r.p99_us) <= ADDED_P99_LIMIT
            && ratio >= PER_CORE_LIMIT
            && self.rows.iter().all(|r| r.failed == 0)
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nmedians over the rounds, added over the direct way")?;
        for way in ["forwarder", "entry+agent"] {
            for phase in [Phase::Single, Phase::Half] {
                let p50 = self.added(way, phase, |r| r.p50_us);
                let p99 = self.added(way, phase, |r| r.p99_us);
                let name = format!("{phase:?}").to_lowercase();
                writeln!(f, "  {way:12} {name:6} p50 +{p50} us  p99 +{p99} us")?;
            }
            let rate = self.median(way, Phase::Full, |r| r.rate);
            let cores = self.per_core(way);
            writeln!(f, "  {way:12} full   {rate:.0} requests/s, {cores:.0} a second and core")?;
        }
        let ratio = self.per_core("entry+agent") / self.per_core("forwarder");
        writeln!(
            f,
            "  entry+agent carry {ratio:.2} of the forwarder's requests a second and core"
        )?;
        let [before, after] = &self.machine;
        writeln!(f, "machine: load average {before} before, {after} after")?;
        let met = if self.targets_met() { "met" } else { "NOT met" };
        writeln!(
            f,
            "targets {met}: at half load p50 +{ADDED_P50_LIMIT} us, p99 +{ADDED_P99_LIMIT} us; {PER_CORE_LIMIT} of the forwarder a core"
        )
    }
}
