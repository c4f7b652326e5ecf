//! Routing: preparing the candidates, and one decision.

use super::documents::text;
use super::line::Line;
use super::process::median;
use papayaproxy::Name;
use papayaproxy::fleet::{Document, Role, parse};
use papayaproxy::routing::{
    AttemptOutcome, Candidates, Moment, Presence, Request, Router, Settings,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Candidates that are built for.
const CANDIDATES: usize = 600;

/// Decisions of one timing.
const DECISIONS: usize = 10_000;

/// Runs of each timing.
const RUNS: usize = 9;

/// Lines of routing.
pub(crate) fn measure() -> Vec<Line> {
    let sizes = [16, 100, 300, 600];
    vec![
        Line::measure("routing, us to prepare candidates", "upstreams", &sizes, CANDIDATES, |n| {
            let document = document(n);
            median(RUNS, || drop(candidates(&document))).as_secs_f64() * 1e6
        }),
        Line::measure("routing, us for a decision", "upstreams", &sizes, CANDIDATES, decide_us),
    ]
}

fn document(upstreams: usize) -> Document {
    parse(&text(10, upstreams)).unwrap_or_default()
}

fn candidates(document: &Document) -> Candidates {
    let live = |_: &Name| Presence { live: true, incarnation: None };
    Candidates::prepare(document, &Name::from("zone-0"), live)
}

/// Time of one decision with its sending and its end.
fn decide_us(upstreams: usize) -> f64 {
    let mut router = Router::new(Settings::default());
    router.set_candidates(Arc::new(candidates(&document(upstreams))), Duration::ZERO);
    let (service, workspace) = (Name::from("ledger"), Name::from("workspace-1"));
    let request = Request {
        service: &service,
        model: None,
        role: Role::Mixed,
        workspace: &workspace,
        prefix: &[],
        prompt_tokens: 0,
        output_tokens: 0,
        time_left: Duration::from_secs(10),
        excluded: &[],
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let wall = SystemTime::now();
    let all = median(RUNS, || {
        for step in 0..DECISIONS {
            let now = Duration::from_micros(step as u64);
            if let Ok(decision) = router.choose(&request, Moment { now, wall }, &mut rng) {
                let ticket = router.record_sent(&decision, &request, now);
                router.record_start(&ticket, now);
                router.record_end(ticket, AttemptOutcome::Completed { cached_tokens: None }, now);
            }
        }
    });
    all.as_secs_f64() * 1e6 / DECISIONS as f64
}
