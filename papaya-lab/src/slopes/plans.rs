//! Expert maps: memory of the popularity of one group.

use super::line::Line;
use super::process::held_kib;
use papayaproxy::experts::{Popularity, Shape};
use std::time::Duration;

/// Ranks that are built for.
const RANKS: usize = 256;

/// Copies whose memory is measured together.
const COPIES: usize = 20;

/// Lines of expert maps.
pub(crate) fn measure() -> Vec<Line> {
    let sizes = [16, 64, 128, 256];
    let shape = |ranks: usize| Shape { ranks: ranks as u16, layers: 60, experts: 128, slots: 10 };
    vec![Line::measure("popularity of a group, KiB of memory", "ranks", &sizes, RANKS, |n| {
        let make = || Popularity::new(shape(n), Duration::from_secs(30));
        held_kib(|| (0..COPIES).map(|_| make()).collect::<Vec<_>>()) / COPIES as f64
    })]
}
