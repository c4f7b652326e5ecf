//! The entry's router: the routing core behind a mutex, fed from the document and the live view.

use super::request::Ask;
use crate::base::clock::Clock;
use crate::base::digest::Digest;
use crate::base::name::Name;
use crate::fleet::{Document, Role};
use crate::membership::{Feed, View};
use crate::routing::{
    AttemptOutcome, Candidates, Decision, Moment, Presence, Refusal, Request, Router, Ticket,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::Xxh3;

/// The router with its source of randomness.
struct Core {
    router: Router,
    rng: SmallRng,
    /// When the last report taken of each upstream arrived, by index.
    taken: Vec<Duration>,
    /// Attempts that wait for their first byte, by number.
    waiting: HashMap<u64, CancellationToken>,
    /// What the present candidates were prepared from.
    basis: Option<Basis>,
}

/// What candidates are prepared from: the document, and who is live in which incarnation.
#[derive(PartialEq, Eq)]
struct Basis {
    generation: u64,
    digest: Digest,
    presence: u64,
}

/// Chooses upstreams for the requests of one entry.
pub(crate) struct Routes {
    core: Mutex<Core>,
    feed: Feed,
    zone: Name,
    clock: Clock,
}

/// An attempt that was routed.
pub(crate) struct Routed {
    pub(crate) decision: Decision,
    pub(crate) ticket: Ticket,
    /// Cancelled once the first byte is later than expected.
    pub(crate) overdue: CancellationToken,
}

impl Routes {
    pub(crate) fn new(router: Router, feed: Feed, zone: Name, clock: Clock) -> Self {
        let rng = SmallRng::from_rng(&mut rand::rng());
        let core = Core { router, rng, taken: Vec::new(), waiting: HashMap::new(), basis: None };
        Self { core: Mutex::new(core), feed, zone, clock }
    }

    /// Chooses an upstream and notes that the request goes there.
    ///
    /// # Errors
    /// The refusal, after which the request has not run.
    pub(crate) fn choose(
        &self,
        ask: &Ask,
        left: Duration,
        excluded: &[Name],
    ) -> Result<Routed, Refusal> {
        let request = request(ask, left, excluded);
        let id = format!("{:016x}", ask.id);
        let at = Moment { now: self.clock.now(), wall: SystemTime::now() };
        let mut core = self.lock();
        let Core { router, rng, waiting, .. } = &mut *core;
        let chosen = router.choose(&request, at, rng);
        let candidates = router.candidates().clone();
        let routed = chosen.map(|decision| {
            let ticket = router.record_sent(&decision, &request, at.now);
            let overdue = CancellationToken::new();
            waiting.insert(ticket.serial(), overdue.clone());
            Routed { decision, ticket, overdue }
        });
        drop(core);
        match &routed {
            Ok(routed) => routed.decision.log(&id, &candidates),
            Err(refusal) => refusal.log(&id),
        }
        routed
    }

    /// Whether a live upstream of `service` is left besides those of `excluded`.
    pub(crate) fn has_other(&self, service: &Name, excluded: &[Name]) -> bool {
        let candidates = self.lock().router.candidates().clone();
        let wall = SystemTime::now();
        candidates.members(service).any(|c| c.takes_work(wall) && !excluded.contains(&c.name))
    }

    /// Notes the first piece of a reply.
    pub(crate) fn started(&self, ticket: &Ticket) {
        let mut core = self.lock();
        core.waiting.remove(&ticket.serial());
        core.router.record_start(ticket, self.clock.now());
    }

    /// Settles an attempt.
    pub(crate) fn finished(&self, ticket: Ticket, end: AttemptOutcome) {
        let mut core = self.lock();
        core.waiting.remove(&ticket.serial());
        core.router.record_end(ticket, end, self.clock.now());
        drop(core);
        self.log_changes();
    }

    /// Takes the present document and view, and finds overdue attempts.
    pub(crate) fn refresh(&self) {
        let document = self.feed.document.load();
        let view = self.feed.view.load();
        let now = self.clock.now();
        self.prepare(&document, &view, now);
        let mut core = self.lock();
        core.router.set_live_entries(view.entries);
        core.take_reports(&view, now);
        core.sweep(now);
        drop(core);
        self.log_changes();
    }

    /// Prepares candidates anew where the document or the presence of an upstream has changed.
    fn prepare(&self, document: &Document, view: &View, now: Duration) {
        let basis = Basis {
            generation: document.generation,
            digest: document.digest,
            presence: presence_hash(view),
        };
        if self.lock().basis.as_ref() == Some(&basis) {
            return;
        }
        let next = Candidates::prepare(document, &self.zone, |name| presence(view, name));
        let mut core = self.lock();
        core.router.set_candidates(Arc::new(next), now);
        core.basis = Some(basis);
    }

    fn log_changes(&self) {
        let changes = self.lock().router.take_circuit_changes();
        changes.iter().for_each(|c| c.log());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Core {
    /// Tells the attempts whose first byte is overdue.
    fn sweep(&mut self, now: Duration) {
        for overdue in self.router.take_overdue(now) {
            if let Some(waiting) = self.waiting.remove(&overdue.serial) {
                waiting.cancel();
            }
        }
    }

    fn take_reports(&mut self, view: &View, now: Duration) {
        let candidates = self.router.candidates().clone();
        self.taken.resize(candidates.upstreams.len(), Duration::MAX);
        for (index, candidate) in candidates.upstreams.iter().enumerate() {
            let Some(known) = view.upstreams.get(&candidate.name) else { continue };
            let Some(report) = &known.report else { continue };
            if self.taken[index] != known.received {
                self.taken[index] = known.received;
                self.router.apply_report(index as u32, report, now);
            }
        }
    }
}

fn presence_hash(view: &View) -> u64 {
    let mut hash = Xxh3::new();
    for upstream in view.upstreams.values() {
        let incarnation = upstream.incarnation.map_or(0, |i| i.0);
        hash.update(&(incarnation << 1 | u64::from(upstream.live)).to_le_bytes());
    }
    hash.digest()
}

fn presence(view: &View, name: &Name) -> Presence {
    let known = view.upstreams.get(name);
    Presence { live: known.is_some_and(|u| u.live), incarnation: known.and_then(|u| u.incarnation) }
}

fn request<'a>(ask: &'a Ask, left: Duration, excluded: &'a [Name]) -> Request<'a> {
    let prompt = ask.prompt.as_ref();
    Request {
        service: &ask.service,
        model: prompt.map(|p| p.model),
        role: Role::Mixed,
        workspace: &ask.caller.workspace,
        prefix: prompt.map_or(&[], |p| &p.prefix),
        prompt_tokens: prompt.map_or(0, |p| p.tokens),
        output_tokens: prompt.map_or(0, |p| p.output),
        time_left: left,
        excluded,
    }
}
