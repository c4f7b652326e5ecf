//! The fleet document: its text, its reading and its memory.

use super::line::Line;
use super::process::{child_kib, held_kib, median};
use papayaproxy::fleet::{credential_digest, parse, render};
use std::fmt::Write;

/// Workspaces that are built for.
const WORKSPACES: usize = 13_000;

/// Upstreams that are built for.
const UPSTREAMS: usize = 600;

/// Copies of a document whose memory is measured together.
const COPIES: usize = 20;

/// Runs of each timing.
const RUNS: usize = 9;

/// A document with so many workspaces and upstreams, as published.
pub(crate) fn text(workspaces: usize, upstreams: usize) -> String {
    let mut text = String::from("[fleet]\nname = slopes\ngeneration = 1\n");
    for zone in 0..6 {
        let _ = writeln!(text, "[zone.zone-{zone}]\nregion = region-{}", zone / 3);
    }
    text += "[service.ledger]\nidempotent = no\n";
    for number in 0..upstreams {
        let _ = writeln!(text, "[upstream.upstream-{number}]\nzone = zone-{}", number % 6);
        let (high, low) = (number / 250, 1 + number % 250);
        let _ = writeln!(text, "agent = 10.1.{high}.{low}:7300\nservices = ledger");
    }
    text += "[workspaces]\n";
    for number in 0..workspaces {
        let digest = credential_digest(&format!("workspace {number}"));
        let _ = writeln!(text, "workspace-{number} = 100 {digest}");
    }
    text
}

/// Memory of a read document with so many workspaces, in KiB.
pub(crate) fn held(workspaces: usize) -> f64 {
    let text = text(workspaces, UPSTREAMS);
    // Reading takes memory of its own, which the copies then use again.
    drop(parse(&text));
    held_kib(|| (0..COPIES).map(|_| parse(&text)).collect::<Vec<_>>()) / COPIES as f64
}

/// Lines of the document.
pub(crate) fn measure() -> Vec<Line> {
    let sizes = [1000, 4000, 8000, 13_000];
    let canonical = |n| render(&parse(&text(n, UPSTREAMS)).unwrap_or_default());
    vec![
        Line::measure("document, KiB of text", "workspaces", &sizes, WORKSPACES, |n| {
            canonical(n).len() as f64 / 1024.0
        }),
        Line::measure("document, ms to read and check", "workspaces", &sizes, WORKSPACES, |n| {
            let text = canonical(n);
            median(RUNS, || drop(parse(&text))).as_secs_f64() * 1e3
        }),
        Line::measure("document, KiB of memory", "workspaces", &sizes, WORKSPACES, |n| {
            child_kib("document", n)
        }),
    ]
}
