//! What a run keeps of each entry and each request.

use super::constants::{ENGINES, ENTRIES, HEADROOM, PLAIN, SLOTS};
use super::fleet::zone_of;
use super::policy::{Picture, Seen};
use super::workload::{Arrival, PARTS};
use indexmap::IndexMap;
use papayaproxy::Name;
use papayaproxy::fleet::Document;
use papayaproxy::limits::{Admission, EntryShare, Offer, RetryBudget};
use papayaproxy::routing::{Candidates, Presence, Router, Settings, Ticket};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::time::Duration;

/// A request on its way.
pub(crate) struct Job {
    pub attempt: u32,
    pub upstream: usize,
    pub ticket: Option<Ticket>,
    pub tried: Vec<Name>,
    pub admitted: Duration,
    pub started: Duration,
    pub first: bool,
    pub ended: bool,
}

/// An entry with the cores that it runs.
pub(crate) struct Entry {
    pub picture: Picture,
    pub gate: Admission,
    pub retries: RetryBudget,
    pub share: EntryShare,
    pub serials: IndexMap<u64, usize>,
}

impl Entry {
    pub(crate) fn open(index: usize, document: &Document, seed: u64) -> Self {
        let mut router = Router::new(Settings::default());
        let live = |_: &Name| Presence { live: true, incarnation: None };
        let candidates = Candidates::prepare(document, &zone_of(index), live);
        router.set_candidates(Arc::new(candidates), Duration::ZERO);
        router.set_live_entries(ENTRIES as u32);
        let mut share = EntryShare::default();
        share.observe(ENTRIES as u32, Duration::ZERO);
        let picture = Picture {
            router,
            seen: vec![Seen { live: true, requests: 0 }; ENGINES + PLAIN],
            cursor: index * 7,
            rng: StdRng::seed_from_u64(seed ^ (index as u64 + 1)),
        };
        let mut entry = Self {
            picture,
            gate: Admission::new(1),
            retries: RetryBudget::default(),
            share,
            serials: IndexMap::new(),
        };
        entry.resize(ENGINES as u32 * SLOTS);
        entry
    }

    pub(crate) fn resize(&mut self, slots: u32) {
        let part = self.share.of(f64::from(slots) * HEADROOM);
        self.gate.resize(part.ceil() as u32);
    }
}

impl Job {
    pub(crate) fn new() -> Self {
        Self {
            attempt: 0,
            upstream: 0,
            ticket: None,
            tried: Vec::new(),
            admitted: Duration::ZERO,
            started: Duration::ZERO,
            first: false,
            ended: false,
        }
    }
}

pub(crate) fn offer(id: u64, arrival: &Arrival, workspace: &Name) -> Offer {
    Offer {
        id,
        workspace: workspace.clone(),
        share: (PARTS[arrival.workspace] * 100.0) as u32,
        priority: arrival.priority,
        deadline: arrival.deadline,
        min_runtime: Duration::from_secs(if arrival.plain { 0 } else { 1 }),
        cost: cost(arrival),
    }
}

pub(crate) fn cost(arrival: &Arrival) -> u32 {
    arrival.prompt + arrival.output
}

pub(crate) fn id_of(job: usize, attempt: u32) -> u64 {
    job as u64 * 16 + u64::from(attempt)
}

pub(crate) fn job_of(id: u64) -> (usize, u32) {
    ((id / 16) as usize, (id % 16) as u32)
}
