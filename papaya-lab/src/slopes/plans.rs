//! Expert maps: memory of the popularity of one group.

use super::line::Line;
use super::process::{child_kib, held_kib};
use papayaproxy::experts::{Popularity, Shape};
use std::time::Duration;

/// Ranks that are built for.
const RANKS: usize = 256;

/// Copies whose memory is measured together.
const COPIES: usize = 20;

/// Memory of a group's popularity for so many ranks, in KiB.
pub(crate) fn held(ranks: usize) -> f64 {
    let shape = Shape { ranks: ranks as u16, layers: 60, experts: 128, slots: 10 };
    let make = || Popularity::new(shape, Duration::from_secs(30));
    held_kib(|| (0..COPIES).map(|_| make()).collect::<Vec<_>>()) / COPIES as f64
}

/// Lines of expert maps.
pub(crate) fn measure() -> Vec<Line> {
    let sizes = [16, 64, 128, 256];
    vec![Line::measure("popularity of a group, KiB of memory", "ranks", &sizes, RANKS, |n| {
        child_kib("experts", n)
    })]
}
