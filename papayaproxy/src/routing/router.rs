//! Core of routing: chooses an upstream for each request and tracks the attempts.
//!
//! It performs no I/O and has no clock or source of randomness of its own. An entry has one router
//! behind a mutex; a choice takes microseconds.

use super::attempt::{AttemptOutcome, CacheEvent, CircuitChange, OverdueAttempt, Ticket};
use super::cache::PrefixIndex;
use super::candidates::Candidates;
use super::choice::Choice;
use super::codes;
use super::constants::{
    HOMES_MAX, INDEX_BLOCKS_MAX, OVERDUE_FACTOR, OVERDUE_MIN, PEER_SEND_FRACTION,
};
use super::decision::{Decision, Refusal, ScoredList};
use super::load::{Attempt, Load};
use super::request::{Moment, Request, workspace_hash};
use super::settings::Settings;
use crate::limits::CircuitState;
use crate::membership::LoadReport;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Chooses upstreams and tracks attempts, load reports, caches and circuits.
pub struct Router {
    pub(super) settings: Settings,
    pub(super) candidates: Arc<Candidates>,
    pub(super) loads: Vec<Load>,
    /// Step time of each lock-step group in seconds: that of its slowest rank.
    pub(super) group_steps: Vec<f64>,
    pub(super) prefix_index: PrefixIndex,
    /// Estimated ratio of the requests sent by all entries to those sent by this entry.
    pub(super) entries_factor: f64,
    last_serial: u64,
    circuit_changes: Vec<CircuitChange>,
    /// Skips the check of leave times in the choice, to test the assertion after it.
    #[cfg(test)]
    pub(crate) skip_leave_check: bool,
}

impl Router {
    /// Creates a router without candidates.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            candidates: Arc::default(),
            loads: Vec::new(),
            group_steps: Vec::new(),
            prefix_index: PrefixIndex::new(INDEX_BLOCKS_MAX, settings.cache_half_life),
            entries_factor: 1.0,
            last_serial: 0,
            circuit_changes: Vec::new(),
            #[cfg(test)]
            skip_leave_check: false,
        }
    }

    /// Current candidates.
    pub fn candidates(&self) -> &Arc<Candidates> {
        &self.candidates
    }

    /// Sets the number of live entries, this one included. All entries share the upstreams, so the
    /// requests that the others sent since a load report are estimated from those of this entry.
    pub fn set_live_entries(&mut self, live: u32) {
        self.entries_factor = (f64::from(live) * PEER_SEND_FRACTION).max(1.0);
    }

    /// Replaces the candidates. The state of a remaining upstream is kept while its incarnation is
    /// unchanged; its attempts in flight are always kept.
    pub fn set_candidates(&mut self, next: Arc<Candidates>, now: Duration) {
        let is_first = self.candidates.upstreams.is_empty();
        let new_indices: Vec<Option<u32>> =
            self.candidates.upstreams.iter().map(|c| next.index_of(&c.name)).collect();
        let mut kept: Vec<Option<Load>> = next.upstreams.iter().map(|_| None).collect();
        for (load, target) in self.loads.drain(..).zip(&new_indices) {
            if let Some(index) = *target {
                kept[index as usize] = Some(load);
            }
        }
        let slow_start_at = (!is_first).then_some(now);
        let fresh = || Load::new(self.settings.circuit, slow_start_at, self.last_serial);
        self.loads = kept.into_iter().map(|k| k.unwrap_or_else(fresh)).collect();
        self.prefix_index.renumber(&new_indices, next.upstreams.len());
        for (old, target) in self.candidates.upstreams.iter().zip(&new_indices) {
            let Some(index) = *target else { continue };
            let incarnation = next.upstreams[index as usize].incarnation;
            if old.incarnation.is_some() && incarnation.is_some() && old.incarnation != incarnation
            {
                self.prefix_index.clear_upstream(index, now);
                let load = &mut self.loads[index as usize];
                let attempts = std::mem::take(&mut load.attempts);
                *load = Load::new(self.settings.circuit, Some(now), load.base_serial);
                load.attempts = attempts;
            }
        }
        self.group_steps = vec![0.0; next.group_count];
        self.candidates = next;
        (0..self.group_steps.len()).for_each(|g| self.update_group_step(g));
    }

    /// Applies the load report of an upstream, received at `now`.
    pub fn apply_report(&mut self, upstream: u32, report: &LoadReport, now: Duration) {
        self.loads[upstream as usize].apply_report(report, now);
        if let Some(group) = self.candidates.upstreams[upstream as usize].group {
            self.update_group_step(usize::from(group));
        }
    }

    /// Applies a cache event with the sequence number of its engine. Returns whether the sequence
    /// had a gap; a gap invalidates all earlier records of that engine's cache.
    pub fn apply_cache_event(
        &mut self,
        upstream: u32,
        sequence: u64,
        event: &CacheEvent,
        now: Duration,
    ) -> bool {
        let load = &mut self.loads[upstream as usize];
        let has_gap = load.next_event.is_some_and(|next| next != sequence);
        load.next_event = Some(sequence + 1);
        if has_gap {
            self.prefix_index.clear_upstream(upstream, now);
            let upstream = &self.candidates.upstreams[upstream as usize].name;
            tracing::info!(event = super::events::CACHE_GAP, %upstream, "cache events missed");
        }
        match event {
            CacheEvent::Stored { workspace, prefix } => {
                self.prefix_index.store(workspace_hash(workspace), prefix, upstream, now);
            }
            CacheEvent::Evicted { prefix } => self.prefix_index.evict(prefix, upstream),
            CacheEvent::Cleared => self.prefix_index.clear_upstream(upstream, now),
        }
        has_gap
    }

    /// Chooses an upstream for `request`.
    ///
    /// # Errors
    /// Refuses the request, which has not run, if the service is unknown, no upstream is eligible
    /// or none is predicted to finish in time.
    pub fn choose(
        &mut self,
        request: &Request<'_>,
        at: Moment,
        rng: &mut impl Rng,
    ) -> Result<Decision, Refusal> {
        let candidates = self.candidates.clone();
        let pool = candidates.pools.get(request.service).ok_or_else(Refusal::unknown_service)?;
        let workspace = workspace_hash(request.workspace);
        let matches = self.prefix_index.matches(workspace, request.prefix);
        let mut choice = Choice { router: self, request, at, matches, homes: [None; HOMES_MAX] };
        choice.find_homes(pool);
        let mut scored = ScoredList::new();
        choice.score_all(pool, &mut scored, rng);
        let best = scored.best().copied().ok_or_else(|| choice.refusal(pool))?;
        let time_left = request.time_left.as_secs_f64();
        if choice.forecast(best.upstream).last_token > time_left
            && !choice.has_candidate_in_time(pool)
        {
            let first_token = f64::from(best.first_token);
            return Err(Refusal {
                code: codes::TOO_LATE,
                retry_after: Duration::from_secs_f64(first_token),
            });
        }
        let chosen = &candidates.upstreams[best.upstream as usize];
        assert!(
            chosen.takes_work(at.wall),
            "{}: {} was chosen although it is leaving",
            codes::LEAVING_CHOSEN,
            chosen.name
        );
        Ok(Decision {
            upstream: best.upstream,
            name: chosen.name.clone(),
            agent: chosen.agent,
            reason: best.reason,
            first_token: Duration::from_secs_f32(best.first_token.max(0.0)),
            cached_tokens: best.cached_tokens,
            scored,
        })
    }

    /// Records that the request was sent to the chosen upstream.
    pub fn record_sent(
        &mut self,
        decision: &Decision,
        request: &Request<'_>,
        now: Duration,
    ) -> Ticket {
        self.last_serial += 1;
        let index = decision.upstream as usize;
        let workspace = workspace_hash(request.workspace);
        let load = &mut self.loads[index];
        let prefill_tokens =
            f64::from(request.prompt_tokens.saturating_sub(decision.cached_tokens));
        let overdue_after = decision.first_token.mul_f64(OVERDUE_FACTOR).max(OVERDUE_MIN);
        let tokens_ahead = if request.model.is_some() {
            load.waiting_tokens(now, self.entries_factor) + prefill_tokens
        } else {
            0.0
        };
        load.attempts.push_back(Attempt {
            serial: self.last_serial,
            sent_at: now,
            prefill_tokens,
            tokens_ahead,
            overdue_at: now + overdue_after,
            is_started: false,
            is_overdue: false,
            is_probe: load.circuit.start_attempt(now),
        });
        self.prefix_index.store(workspace, request.prefix, decision.upstream, now);
        self.prefix_index.count_request(request.prefix, now);
        Ticket {
            serial: self.last_serial,
            upstream: decision.name.clone(),
            workspace,
            prefix: request.prefix.to_vec(),
            cached_tokens: decision.cached_tokens,
        }
    }

    /// Records the first token, or the first byte of an answer.
    pub fn record_start(&mut self, ticket: &Ticket, now: Duration) {
        let Some(index) = self.candidates.index_of(&ticket.upstream) else { return };
        self.loads[index as usize].record_start(ticket.serial, now);
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, ticket: Ticket, outcome: AttemptOutcome, now: Duration) {
        let Some(index) = self.candidates.index_of(&ticket.upstream) else { return };
        let load = &mut self.loads[index as usize];
        let attempt = load.record_end(ticket.serial, now);
        assert!(
            attempt.is_some() || ticket.serial <= load.base_serial,
            "{}: attempt {} is not in flight",
            codes::TICKET_FOREIGN,
            ticket.serial
        );
        let Some(attempt) = attempt else { return };
        match outcome {
            AttemptOutcome::Completed { cached_tokens } => {
                load.record_call(now.saturating_sub(attempt.sent_at));
                self.record_answer(index, !attempt.is_overdue, attempt.is_probe, now);
                if cached_tokens.is_some_and(|c| c < ticket.cached_tokens / 2) {
                    self.prefix_index.replace(ticket.workspace, &ticket.prefix, index, now);
                }
            }
            AttemptOutcome::Failed => {
                self.record_answer(index, false, attempt.is_probe, now);
                self.prefix_index.evict(&ticket.prefix, index);
            }
            AttemptOutcome::Refused | AttemptOutcome::Cancelled => {
                load.circuit.release_probe(attempt.is_probe);
                self.prefix_index.evict(&ticket.prefix, index);
            }
        }
    }

    /// Returns each overdue attempt once and counts it as slow in the circuit of its upstream.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<OverdueAttempt> {
        let mut found = Vec::new();
        for index in 0..self.loads.len() {
            while let Some(attempt) = self.loads[index].take_overdue(now) {
                self.record_answer(index as u32, false, attempt.is_probe, now);
                let upstream = self.candidates.upstreams[index].name.clone();
                found.push(OverdueAttempt { serial: attempt.serial, upstream });
            }
        }
        found
    }

    /// Returns the changes of circuits since the last call.
    pub fn take_circuit_changes(&mut self) -> Vec<CircuitChange> {
        std::mem::take(&mut self.circuit_changes)
    }

    /// Counts an answer in the circuit of an upstream. A closed circuit opens only while fewer than
    /// half of the circuits are open: when most upstreams fail, the cause probably lies elsewhere,
    /// and opening all circuits would leave no upstream to answer.
    fn record_answer(&mut self, index: u32, is_good: bool, is_probe: bool, now: Duration) {
        let before = self.loads[index as usize].circuit.state();
        let should_open = self.loads[index as usize].circuit.record_answer(is_good, is_probe, now);
        if should_open && (before != CircuitState::Closed || self.may_open(index)) {
            self.loads[index as usize].circuit.open(now);
        }
        let load = &mut self.loads[index as usize];
        let state = load.circuit.state();
        if state == before {
            return;
        }
        if state == CircuitState::Closed {
            load.slow_start_at = Some(now);
        }
        let upstream = self.candidates.upstreams[index as usize].name.clone();
        self.circuit_changes.push(CircuitChange { upstream, state });
    }

    /// Whether the circuits of fewer than half of the live upstreams of the upstream's first
    /// service are open or half-open.
    fn may_open(&self, index: u32) -> bool {
        let service = self.candidates.upstreams[index as usize].upstream.services.first();
        let Some(pool) = service.and_then(|s| self.candidates.pools.get(s)) else { return true };
        let closed = |&&i: &&u32| self.loads[i as usize].circuit.state() == CircuitState::Closed;
        let not_closed = pool.members.len() - pool.members.iter().filter(closed).count();
        2 * not_closed < pool.members.len()
    }

    /// Sets the step time of a group to that of its slowest rank with a load report.
    fn update_group_step(&mut self, group: usize) {
        let upstreams = self.candidates.upstreams.iter().zip(&self.loads);
        let ranks = upstreams.filter(|(c, _)| c.group == Some(group as u16));
        let steps = ranks.filter(|(_, l)| l.has_report()).map(|(_, l)| l.step_seconds());
        self.group_steps[group] = steps.fold(0.0, f64::max);
    }
}
