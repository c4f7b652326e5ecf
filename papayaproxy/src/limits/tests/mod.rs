//! Tests of admission, retry budgets and circuits.

mod admission;
mod circuit;
mod random;
mod share;

use super::queue::Offer;
use std::time::Duration;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn offer(id: u64, workspace: &str, share: u32) -> Offer {
    Offer {
        id,
        workspace: workspace.into(),
        share,
        priority: 5,
        deadline: secs(100.0),
        min_runtime: secs(0.1),
        cost: 10,
    }
}
