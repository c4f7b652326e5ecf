//! What control costs: bytes, datagrams, processor time and calls.

use super::cluster::Cluster;
use papayaproxy::membership::Traffic;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Processor ticks a second, as Linux counts them.
const TICKS_A_SECOND: f64 = 100.0;

/// A reading of all counters.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    at: Instant,
    sent: u64,
    received: u64,
    datagrams: u64,
    cpu: f64,
    calls: u64,
}

impl Cost {
    /// Reads the counters.
    pub(crate) fn read(cluster: &Cluster) -> Self {
        let sum = |of: fn(&Traffic) -> u64| cluster.nodes().map(|n| of(n.traffic())).sum();
        Self {
            at: Instant::now(),
            sent: sum(|t| t.sent_bytes.load(Ordering::Relaxed)),
            received: sum(|t| t.received_bytes.load(Ordering::Relaxed)),
            datagrams: sum(|t| t.sent.load(Ordering::Relaxed)),
            cpu: cpu_seconds(),
            calls: cluster.platform_calls(),
        }
    }

    /// Prints what has been spent since `before`, for each process.
    pub(crate) fn print_since(&self, before: &Self, processes: usize, what: &str) {
        let seconds = (self.at - before.at).as_secs_f64();
        let each = |now: u64, then: u64| (now - then) as f64 / seconds / processes as f64;
        println!(
            "{what}: {seconds:.0} s; each process sends {:.0} B/s in {:.1} datagrams/s, receives {:.0} B/s, {:.3}% of a core; platform calls {} ({:.1} a minute)",
            each(self.sent, before.sent),
            each(self.datagrams, before.datagrams),
            each(self.received, before.received),
            (self.cpu - before.cpu) / seconds / processes as f64 * 100.0,
            self.calls - before.calls,
            (self.calls - before.calls) as f64 / seconds * 60.0,
        );
    }
}

/// Processor time of this whole process, the platform's stand-in included.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_A_SECOND
}

/// Median and largest of some times.
pub(crate) fn print_times(what: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    let most = times.last().copied().unwrap_or_default();
    println!("{what}: {} times, median {median:.1?}, largest {most:.1?}", times.len());
}
