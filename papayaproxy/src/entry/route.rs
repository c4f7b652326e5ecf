//! Runs the routing core behind a mutex and updates it from the fleet document and the live view.

use super::request::CheckedRequest;
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

/// State behind the mutex.
struct RouterState {
    router: Router,
    rng: SmallRng,
    /// Arrival time of the last report taken from each upstream, by candidate index;
    /// `Duration::MAX` before the first.
    report_times: Vec<Duration>,
    /// Tokens that cancel attempts whose first byte is pending, by the ticket's serial number.
    unstarted: HashMap<u64, CancellationToken>,
    /// Inputs of the current candidates; `None` before the first.
    inputs: Option<CandidateInputs>,
}

/// Inputs of the candidates. A change of any requires them to be prepared again.
#[derive(PartialEq, Eq)]
struct CandidateInputs {
    generation: u64,
    digest: Digest,
    /// Hash of the liveness and incarnation of all upstreams.
    presence: u64,
}

/// Router that all requests of an entry share.
pub(crate) struct EntryRouter {
    state: Mutex<RouterState>,
    feed: Feed,
    zone: Name,
    clock: Clock,
}

/// An attempt with a chosen upstream.
pub(crate) struct RoutedAttempt {
    pub(crate) decision: Decision,
    pub(crate) ticket: Ticket,
    /// Cancelled when the first byte is overdue.
    pub(crate) overdue: CancellationToken,
}

impl EntryRouter {
    pub(crate) fn new(router: Router, feed: Feed, zone: Name, clock: Clock) -> Self {
        let rng = SmallRng::from_rng(&mut rand::rng());
        let state = RouterState {
            router,
            rng,
            report_times: Vec::new(),
            unstarted: HashMap::new(),
            inputs: None,
        };
        Self { state: Mutex::new(state), feed, zone, clock }
    }

    /// Chooses an upstream outside `excluded` and counts the request as sent to it.
    ///
    /// # Errors
    /// No upstream can take the request; it has not run.
    pub(crate) fn choose(
        &self,
        request: &CheckedRequest,
        left: Duration,
        excluded: &[Name],
    ) -> Result<RoutedAttempt, Refusal> {
        let criteria = routing_criteria(request, left, excluded);
        let id = format!("{:016x}", request.id);
        let at = Moment { now: self.clock.now(), wall: SystemTime::now() };
        let mut state = self.lock();
        let RouterState { router, rng, unstarted, .. } = &mut *state;
        let chosen = router.choose(&criteria, at, rng);
        let candidates = router.candidates().clone();
        let routed = chosen.map(|decision| {
            let ticket = router.record_sent(&decision, &criteria, at.now);
            let overdue = CancellationToken::new();
            unstarted.insert(ticket.serial(), overdue.clone());
            RoutedAttempt { decision, ticket, overdue }
        });
        drop(state);
        match &routed {
            Ok(routed) => routed.decision.log(&id, &candidates),
            Err(refusal) => refusal.log(&id),
        }
        routed
    }

    /// Whether an upstream of `service` outside `excluded` takes new work.
    pub(crate) fn has_alternative(&self, service: &Name, excluded: &[Name]) -> bool {
        let candidates = self.lock().router.candidates().clone();
        let wall = SystemTime::now();
        candidates.members(service).any(|c| c.takes_work(wall) && !excluded.contains(&c.name))
    }

    /// Records that the reply has begun; the attempt is no longer cancelled as overdue.
    pub(crate) fn record_start(&self, ticket: &Ticket) {
        let mut state = self.lock();
        state.unstarted.remove(&ticket.serial());
        state.router.record_start(ticket, self.clock.now());
    }

    /// Records how an attempt ended.
    pub(crate) fn record_end(&self, ticket: Ticket, end: AttemptOutcome) {
        let mut state = self.lock();
        state.unstarted.remove(&ticket.serial());
        state.router.record_end(ticket, end, self.clock.now());
        drop(state);
        self.log_changes();
    }

    /// Applies the current document and view, and cancels overdue attempts.
    pub(crate) fn refresh(&self) {
        let document = self.feed.document.load();
        let view = self.feed.view.load();
        let now = self.clock.now();
        self.prepare_candidates(&document, &view, now);
        let mut state = self.lock();
        state.router.set_live_entries(view.entries);
        state.take_reports(&view, now);
        state.cancel_overdue(now);
        drop(state);
        self.log_changes();
    }

    /// Prepares the candidates again if the document or the presence of an upstream has changed.
    fn prepare_candidates(&self, document: &Document, view: &View, now: Duration) {
        let inputs = CandidateInputs {
            generation: document.generation,
            digest: document.digest,
            presence: presence_hash(view),
        };
        if self.lock().inputs.as_ref() == Some(&inputs) {
            return;
        }
        let next = Candidates::prepare(document, &self.zone, |name| presence(view, name));
        let mut state = self.lock();
        state.router.set_candidates(Arc::new(next), now);
        state.inputs = Some(inputs);
    }

    fn log_changes(&self) {
        let changes = self.lock().router.take_circuit_changes();
        changes.iter().for_each(|c| c.log());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RouterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RouterState {
    /// Cancels the attempts whose first byte is overdue.
    fn cancel_overdue(&mut self, now: Duration) {
        for overdue in self.router.take_overdue(now) {
            if let Some(token) = self.unstarted.remove(&overdue.serial) {
                token.cancel();
            }
        }
    }

    fn take_reports(&mut self, view: &View, now: Duration) {
        let candidates = self.router.candidates().clone();
        self.report_times.resize(candidates.upstreams.len(), Duration::MAX);
        for (index, candidate) in candidates.upstreams.iter().enumerate() {
            let Some(known) = view.upstreams.get(&candidate.name) else { continue };
            let Some(report) = &known.report else { continue };
            if self.report_times[index] != known.received {
                self.report_times[index] = known.received;
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

fn routing_criteria<'a>(
    request: &'a CheckedRequest,
    left: Duration,
    excluded: &'a [Name],
) -> Request<'a> {
    let prompt = request.prompt.as_ref();
    Request {
        service: &request.service,
        model: prompt.map(|p| p.model),
        role: Role::Mixed,
        workspace: &request.caller.workspace,
        prefix: prompt.map_or(&[], |p| &p.prefix),
        prompt_tokens: prompt.map_or(0, |p| p.tokens),
        output_tokens: prompt.map_or(0, |p| p.output_tokens),
        time_left: left,
        excluded,
    }
}
