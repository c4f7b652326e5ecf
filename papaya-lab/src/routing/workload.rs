//! Seeded arrivals: the same for each policy.

use super::constants::{DEADLINE, ENTRIES, PLAIN_PART, PLAIN_SECONDS};
use papayaproxy::Name;
use papayaproxy::routing::BLOCK_TOKENS;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Parts of the load by workspace: a few large, the others small.
pub(crate) const PARTS: [f64; 10] = [0.28, 0.20, 0.14, 0.08, 0.07, 0.06, 0.05, 0.05, 0.04, 0.03];

/// The workspace that exceeds its share in the overload runs.
pub(crate) const HOG: usize = 0;

/// One request of the workload.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub at: Duration,
    pub entry: usize,
    pub workspace: usize,
    pub plain: bool,
    pub prefix: Vec<u64>,
    pub prompt: u32,
    pub output: u32,
    /// Duration of a plain call.
    pub call: Duration,
    pub deadline: Duration,
    pub priority: u8,
}

/// What the arrivals are drawn from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub seed: u64,
    /// Blocks that all prompts of a workspace begin with.
    pub shared: usize,
}

/// A burst on top of the steady load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    pub from: Duration,
    pub until: Duration,
    /// Extra requests per second, all of the workspace [`HOG`].
    pub rate: f64,
}

struct Template {
    blocks: Vec<u64>,
}

struct Tenant {
    templates: Vec<Template>,
    talks: Vec<Vec<u64>>,
}

/// Names of the workspaces.
pub(crate) fn workspaces() -> Vec<Name> {
    (0..PARTS.len()).map(|i| Name::from(format!("workspace-{i}"))).collect()
}

struct Maker {
    rng: StdRng,
    tenants: Vec<Tenant>,
}

/// Makes arrivals at `rate` requests per second for `span`.
pub(crate) fn arrivals(
    shape: Shape,
    rate: f64,
    span: Duration,
    burst: Option<Burst>,
) -> Vec<Arrival> {
    let seed = shape.seed;
    let mut maker = Maker::new(shape);
    let mut steady = StdRng::seed_from_u64(seed ^ 0x5eed);
    let mut found = Vec::new();
    let mut at = 0.0;
    while at < span.as_secs_f64() {
        at += exponential(&mut steady, 1.0 / rate);
        let workspace = pick(&mut steady, &PARTS);
        found.push(maker.model(at, workspace));
        if steady.random_bool(PLAIN_PART) {
            let gap = exponential(&mut steady, 0.1);
            found.push(maker.plain(at + gap, workspace));
        }
    }
    if let Some(burst) = burst {
        let mut at = burst.from.as_secs_f64();
        while at < burst.until.as_secs_f64() {
            at += exponential(&mut steady, 1.0 / burst.rate);
            found.push(maker.model(at, HOG));
        }
    }
    found.sort_by_key(|a| a.at);
    found
}

impl Maker {
    fn new(shape: Shape) -> Self {
        let mut rng = StdRng::seed_from_u64(shape.seed);
        let tenant = |part: &f64| Tenant::new(&mut rng, *part, shape.shared);
        let tenants = PARTS.iter().map(tenant).collect();
        Self { rng, tenants }
    }

    fn model(&mut self, at: f64, workspace: usize) -> Arrival {
        let rng = &mut self.rng;
        let tenant = &mut self.tenants[workspace];
        let goes_on = tenant.talks.len() > 20 && rng.random_bool(0.4);
        let mut prefix = if goes_on {
            // The newest talks are still being answered.
            let index = rng.random_range(0..tenant.talks.len() - 10);
            tenant.talks.remove(index)
        } else {
            let index = skewed(rng, tenant.templates.len());
            tenant.templates[index].blocks.clone()
        };
        let fresh = rng.random_range(2..8);
        prefix.extend((0..fresh).map(|_| rng.random::<u64>()));
        if prefix.len() < 90 {
            tenant.talks.push(prefix.clone());
        }
        if tenant.talks.len() > 60 {
            tenant.talks.remove(0);
        }
        let rest = rng.random_range(1..BLOCK_TOKENS);
        let prompt = prefix.len() as u32 * BLOCK_TOKENS + rest;
        let output = 20 + exponential(rng, 90.0).min(480.0) as u32;
        Self::arrival(rng, at, workspace, Some((prefix, prompt, output)))
    }

    fn plain(&mut self, at: f64, workspace: usize) -> Arrival {
        Self::arrival(&mut self.rng, at, workspace, None)
    }

    fn arrival(
        rng: &mut StdRng,
        at: f64,
        workspace: usize,
        model: Option<(Vec<u64>, u32, u32)>,
    ) -> Arrival {
        let at = Duration::from_secs_f64(at);
        let plain = model.is_none();
        let (prefix, prompt, output) = model.unwrap_or_default();
        Arrival {
            at,
            entry: rng.random_range(0..ENTRIES),
            workspace,
            plain,
            prefix,
            prompt,
            output,
            call: Duration::from_secs_f64(0.005 + exponential(rng, PLAIN_SECONDS - 0.005)),
            deadline: at + DEADLINE,
            priority: 5,
        }
    }
}

impl Tenant {
    fn new(rng: &mut StdRng, part: f64, shared: usize) -> Self {
        let shared: Vec<u64> = (0..shared).map(|_| rng.random()).collect();
        let count = if part > 0.1 { 24 } else { 6 };
        let template = |rng: &mut StdRng| {
            let length = rng.random_range(12..44);
            let own = (0..length).map(|_| rng.random::<u64>()).collect::<Vec<_>>();
            Template { blocks: shared.iter().copied().chain(own).collect() }
        };
        Self { templates: (0..count).map(|_| template(rng)).collect(), talks: Vec::new() }
    }
}

pub(crate) fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn pick(rng: &mut StdRng, parts: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * parts.iter().sum::<f64>();
    let found = parts.iter().position(|part| {
        left -= part;
        left < 0.0
    });
    found.unwrap_or(parts.len() - 1)
}

/// Draws an index with a bias to the low ones.
fn skewed(rng: &mut StdRng, count: usize) -> usize {
    let at = rng.random::<f64>().powf(2.0) * count as f64;
    (at as usize).min(count - 1)
}
