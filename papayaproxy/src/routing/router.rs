//! The routing core: it chooses an upstream for each request and follows the attempts.
//!
//! It has no I/O, clock or randomness of its own. One entry shares one router behind a mutex; a
//! choice takes microseconds.

use super::attempt::{AttemptOutcome, CacheEvent, CircuitChange, OverdueAttempt, Ticket};
use super::cache::PrefixIndex;
use super::candidates::Candidates;
use super::choice::Choice;
use super::codes;
use super::constants::{HOMES, INDEX_BLOCKS, PEER_PART, STALL_FACTOR, STALL_FLOOR};
use super::decision::{Decision, Refusal, ScoredList};
use super::load::{Attempt, Load};
use super::request::{Moment, Request, workspace_tag};
use super::settings::Settings;
use crate::limits::CircuitState;
use crate::membership::LoadReport;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Chooses upstreams.
pub struct Router {
    pub(super) settings: Settings,
    pub(super) candidates: Arc<Candidates>,
    pub(super) loads: Vec<Load>,
    /// Step time of each lock-step group: that of its slowest rank, in seconds.
    pub(super) groups: Vec<f64>,
    pub(super) index: PrefixIndex,
    /// Entries whose sends since a report the own ones stand for.
    pub(super) peers: f64,
    serial: u64,
    changes: Vec<CircuitChange>,
    /// Leaves out the check of leave times, to show that the assertion catches it.
    #[cfg(test)]
    pub(crate) blind: bool,
}

impl Router {
    /// Makes a router that knows no upstream yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            candidates: Arc::default(),
            loads: Vec::new(),
            groups: Vec::new(),
            index: PrefixIndex::new(INDEX_BLOCKS, settings.half_life),
            peers: 1.0,
            serial: 0,
            changes: Vec::new(),
            #[cfg(test)]
            blind: false,
        }
    }

    /// The candidates in use.
    pub fn candidates(&self) -> &Arc<Candidates> {
        &self.candidates
    }

    /// Takes the number of live entries, this one included. They share the upstreams, so what this
    /// entry has sent since a report hints at what the others have.
    pub fn set_live_entries(&mut self, live: u32) {
        self.peers = (f64::from(live) * PEER_PART).max(1.0);
    }

    /// Takes new candidates. What is known of an upstream is kept while its incarnation stays.
    pub fn set_candidates(&mut self, next: Arc<Candidates>, now: Duration) {
        let first = self.candidates.upstreams.is_empty();
        let moved: Vec<Option<u32>> =
            self.candidates.upstreams.iter().map(|c| next.index_of(&c.name)).collect();
        let mut kept: Vec<Option<Load>> = next.upstreams.iter().map(|_| None).collect();
        for (load, target) in self.loads.drain(..).zip(&moved) {
            if let Some(index) = *target {
                kept[index as usize] = Some(load);
            }
        }
        let since = (!first).then_some(now);
        let fresh = || Load::new(self.settings.circuit, since, self.serial);
        self.loads = kept.into_iter().map(|k| k.unwrap_or_else(fresh)).collect();
        self.index.renumber(&moved, next.upstreams.len());
        for (old, target) in self.candidates.upstreams.iter().zip(&moved) {
            let Some(index) = *target else { continue };
            let known = next.upstreams[index as usize].incarnation;
            if old.incarnation.is_some() && known.is_some() && old.incarnation != known {
                self.index.reset(index, now);
                let load = &mut self.loads[index as usize];
                let attempts = std::mem::take(&mut load.attempts);
                *load = Load::new(self.settings.circuit, Some(now), load.born);
                load.attempts = attempts;
            }
        }
        self.groups = vec![0.0; next.groups];
        self.candidates = next;
        (0..self.groups.len()).for_each(|g| self.measure_group(g));
    }

    /// Takes the load report of an upstream that arrived at `now`.
    pub fn apply_report(&mut self, upstream: u32, report: &LoadReport, now: Duration) {
        self.loads[upstream as usize].take_report(report, now);
        if let Some(group) = self.candidates.upstreams[upstream as usize].group {
            self.measure_group(usize::from(group));
        }
    }

    /// Takes a cache event, numbered `seq` by its engine. A gap in the numbers drops what was
    /// believed of that engine's cache; returns whether there was one.
    pub fn apply_cache_event(
        &mut self,
        upstream: u32,
        seq: u64,
        event: &CacheEvent,
        now: Duration,
    ) -> bool {
        let load = &mut self.loads[upstream as usize];
        let gap = load.next_event.is_some_and(|next| next != seq);
        load.next_event = Some(seq + 1);
        if gap {
            self.index.reset(upstream, now);
            let upstream = &self.candidates.upstreams[upstream as usize].name;
            tracing::info!(event = super::events::CACHE_GAP, %upstream, "cache events missed");
        }
        match event {
            CacheEvent::Stored { workspace, prefix } => {
                self.index.store(workspace_tag(workspace), prefix, upstream, now);
            }
            CacheEvent::Evicted { prefix } => self.index.evict(prefix, upstream),
            CacheEvent::Cleared => self.index.reset(upstream, now),
        }
        gap
    }

    /// Chooses an upstream for `request`.
    ///
    /// # Errors
    /// Returns a refusal if the service is unknown, no upstream can take the request, or none can
    /// finish it in time. The request has not run then.
    pub fn choose(
        &mut self,
        request: &Request<'_>,
        at: Moment,
        rng: &mut impl Rng,
    ) -> Result<Decision, Refusal> {
        let candidates = self.candidates.clone();
        let pool = candidates.pools.get(request.service).ok_or_else(Refusal::unknown_service)?;
        let tag = workspace_tag(request.workspace);
        let matches = self.index.matches(tag, request.prefix);
        let mut choice = Choice { router: self, request, at, matches, homes: [None; HOMES] };
        choice.find_homes(pool);
        let mut scored = ScoredList::new();
        choice.score_all(pool, &mut scored, rng);
        let best = scored.best().copied().ok_or_else(|| choice.refuse(pool))?;
        let left = request.time_left.as_secs_f64();
        if choice.forecast(best.upstream).last > left && !choice.any_in_time(pool) {
            let late = f64::from(best.first);
            return Err(Refusal {
                code: codes::TOO_LATE,
                retry_after: Duration::from_secs_f64(late),
            });
        }
        let chosen = &candidates.upstreams[best.upstream as usize];
        assert!(
            chosen.takes_work(at.wall),
            "{}: {} is leaving and was chosen",
            codes::LEAVING_CHOSEN,
            chosen.name
        );
        Ok(Decision {
            upstream: best.upstream,
            name: chosen.name.clone(),
            agent: chosen.agent,
            reason: best.reason,
            first: Duration::from_secs_f32(best.first.max(0.0)),
            cached: best.cached,
            scored,
        })
    }

    /// Notes that the request is sent as decided.
    pub fn record_sent(
        &mut self,
        decision: &Decision,
        request: &Request<'_>,
        now: Duration,
    ) -> Ticket {
        self.serial += 1;
        let index = decision.upstream as usize;
        let workspace = workspace_tag(request.workspace);
        let load = &mut self.loads[index];
        let tokens = f64::from(request.prompt_tokens.saturating_sub(decision.cached));
        let stall = decision.first.mul_f64(STALL_FACTOR).max(STALL_FLOOR);
        let ahead =
            if request.model.is_some() { load.waiting(now, self.peers) + tokens } else { 0.0 };
        load.attempts.push_back(Attempt {
            serial: self.serial,
            sent: now,
            tokens,
            ahead,
            due: now + stall,
            started: false,
            overdue: false,
            probe: load.circuit.take(now),
        });
        self.index.store(workspace, request.prefix, decision.upstream, now);
        self.index.count(request.prefix, now);
        Ticket {
            serial: self.serial,
            name: decision.name.clone(),
            workspace,
            prefix: request.prefix.to_vec(),
            cached: decision.cached,
        }
    }

    /// Notes the first token, or the first byte of an answer.
    pub fn record_start(&mut self, ticket: &Ticket, now: Duration) {
        let Some(index) = self.candidates.index_of(&ticket.name) else { return };
        self.loads[index as usize].start(ticket.serial, now);
    }

    /// Settles an attempt.
    pub fn record_end(&mut self, ticket: Ticket, outcome: AttemptOutcome, now: Duration) {
        let Some(index) = self.candidates.index_of(&ticket.name) else { return };
        let load = &mut self.loads[index as usize];
        let attempt = load.end(ticket.serial, now);
        assert!(
            attempt.is_some() || ticket.serial <= load.born,
            "{}: attempt {} is not on its way",
            codes::TICKET_FOREIGN,
            ticket.serial
        );
        let Some(attempt) = attempt else { return };
        match outcome {
            AttemptOutcome::Completed { cached_tokens } => {
                load.learn_call(now.saturating_sub(attempt.sent));
                self.judge(index, !attempt.overdue, attempt.probe, now);
                if cached_tokens.is_some_and(|c| c < ticket.cached / 2) {
                    self.index.correct(ticket.workspace, &ticket.prefix, index, now);
                }
            }
            AttemptOutcome::Failed => {
                self.judge(index, false, attempt.probe, now);
                self.index.evict(&ticket.prefix, index);
            }
            AttemptOutcome::Refused | AttemptOutcome::Cancelled => {
                load.circuit.given_up(attempt.probe);
                self.index.evict(&ticket.prefix, index);
            }
        }
    }

    /// Finds attempts that have no first token past their time, once each, and counts them as slow.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<OverdueAttempt> {
        let mut found = Vec::new();
        for index in 0..self.loads.len() {
            while let Some(attempt) = self.loads[index].take_overdue(now) {
                self.judge(index as u32, false, attempt.probe, now);
                let upstream = self.candidates.upstreams[index].name.clone();
                found.push(OverdueAttempt { serial: attempt.serial, upstream });
            }
        }
        found
    }

    /// Takes the changes of circuits since the last call.
    pub fn take_circuit_changes(&mut self) -> Vec<CircuitChange> {
        std::mem::take(&mut self.changes)
    }

    /// Counts an answer in the circuit of an upstream. A circuit opens only while most others are
    /// closed: when most upstreams look bad, the cause lies elsewhere and closing them all off would
    /// leave no one to answer.
    fn judge(&mut self, index: u32, good: bool, probe: bool, now: Duration) {
        let before = self.loads[index as usize].circuit.state();
        let due = self.loads[index as usize].circuit.answered(good, probe, now);
        if due && (before != CircuitState::Closed || self.may_open(index)) {
            self.loads[index as usize].circuit.open(now);
        }
        let load = &mut self.loads[index as usize];
        let state = load.circuit.state();
        if state == before {
            return;
        }
        if state == CircuitState::Closed {
            load.since = Some(now);
        }
        let upstream = self.candidates.upstreams[index as usize].name.clone();
        self.changes.push(CircuitChange { upstream, state });
    }

    /// Tells whether fewer than half of the upstreams of the same first service are shut off.
    fn may_open(&self, index: u32) -> bool {
        let service = self.candidates.upstreams[index as usize].upstream.services.first();
        let Some(pool) = service.and_then(|s| self.candidates.pools.get(s)) else { return true };
        let closed = |&&i: &&u32| self.loads[i as usize].circuit.state() == CircuitState::Closed;
        let open = pool.members.len() - pool.members.iter().filter(closed).count();
        2 * open < pool.members.len()
    }

    fn measure_group(&mut self, group: usize) {
        let ranks = self.candidates.upstreams.iter().zip(&self.loads);
        let own = ranks.filter(|(c, _)| c.group == Some(group as u16));
        let steps = own.filter(|(_, l)| l.known()).map(|(_, l)| l.step());
        self.groups[group] = steps.fold(0.0, f64::max);
    }
}
