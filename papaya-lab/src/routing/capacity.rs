//! The capacity of the engines: what one engine sustains when it is never idle, times their number.
//!
//! The engine is given the prompts of its own part of the prefixes, so its cache serves it as well
//! as any routing could make it.

use super::constants::{ENGINES, SLOTS};
use super::engine::Engine;
use super::workload::{Shape, arrivals};
use std::time::Duration;

/// Virtual seconds before the count begins.
const WARM: f64 = 20.0;

/// Virtual seconds that are counted.
const COUNTED: f64 = 60.0;

/// Requests per second that all engines sustain together.
pub(crate) fn capacity(shape: Shape) -> f64 {
    let pool = arrivals(shape, 400.0, Duration::from_secs(120), None);
    let own =
        |prefix: &[u64]| prefix.get(shape.shared + 3).is_some_and(|k| k % ENGINES as u64 == 0);
    let mut waiting = pool.iter().filter(|a| !a.plain && own(&a.prefix)).cycle().enumerate();
    let mut engine = Engine::new();
    let mut at = 0.0;
    let mut done = 0_u64;
    while at < WARM + COUNTED {
        while engine.running.len() < SLOTS as usize {
            let Some((job, next)) = waiting.next() else { break };
            engine.add(job, 0, &next.prefix, next.prompt, next.output);
        }
        at += engine.begin().0.as_secs_f64();
        let ended = engine.end().iter().filter(|p| p.last).count() as u64;
        done += if at >= WARM { ended } else { 0 };
    }
    done as f64 / COUNTED * ENGINES as f64
}
