//! What the running process uses.

use std::process::Command;
use std::time::{Duration, Instant};

/// Size of a page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// Resident memory, in KiB.
pub(crate) fn resident_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split_whitespace().nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * PAGE_BYTES / 1024.0
}

/// Growth of resident memory by what `make` gives, in KiB. Only right in a fresh process, where
/// no freed memory is used again.
pub(crate) fn held_kib<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resident_kib();
    let kept = make();
    let grown = resident_kib() - before;
    drop(kept);
    grown.max(0.0)
}

/// What this program measures in a process of its own when it is asked for `held` at `size`.
pub(crate) fn child_kib(held: &str, size: usize) -> f64 {
    let program = std::env::current_exe().unwrap_or_default();
    let size = size.to_string();
    let output = Command::new(program).args(["slopes", "--held", held, "--size", &size]).output();
    let text = output.map(|o| o.stdout).unwrap_or_default();
    String::from_utf8_lossy(&text).trim().parse().unwrap_or(f64::NAN)
}

/// Median time of `runs` runs.
pub(crate) fn median(runs: usize, mut run: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..runs)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times.get(runs / 2).copied().unwrap_or_default()
}
