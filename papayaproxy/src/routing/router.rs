//! The routing core: it chooses an upstream for each request and follows the attempts.
//!
//! It has no I/O, clock or randomness of its own. One entry shares one router behind a mutex; a
//! choice takes microseconds.

use super::cache::{Match, Matches, PrefixIndex};
use super::candidates::{Candidate, Candidates, Pool};
use super::codes;
use super::constants::{
    DRAWS, HOME_TRUST, HOMES, HOT_PART, INDEX_BLOCKS, PEER_PART, SAMPLES, SMALL_POOL, STALL_FACTOR,
    STALL_FLOOR, STRAY_TRUST,
};
use super::decision::{Decision, Reason, Refusal, Scored, ScoredList};
use super::home::{home_key, homes};
use super::load::{Attempt, Load};
use super::request::{Moment, Request, workspace_tag};
use super::score::{Forecast, Input, forecast};
use super::settings::Settings;
use crate::base::name::Name;
use crate::limits::CircuitState;
use crate::membership::LoadReport;
use rand::{Rng, RngExt};
use std::sync::Arc;
use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Completed {
        /// Prompt tokens that the engine took from its cache, if it says so.
        cached: Option<u32>,
    },
    /// The upstream failed: connection lost, error status or broken stream.
    Failed,
    /// The agent refused it as `not-run` for want of room or because it is leaving.
    Refused,
    /// The caller or the entry gave it up; it says nothing of the upstream.
    Cancelled,
}

/// Proof that an attempt was sent. It is settled once, by [`Router::finished`].
#[derive(Debug)]
#[must_use]
pub struct Ticket {
    serial: u64,
    name: Name,
    workspace: u32,
    prefix: Vec<u64>,
    /// Prompt tokens that the cache was expected to hold.
    cached: u32,
}

impl Ticket {
    /// Number of the attempt, unique within its router.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// The upstream that it was sent to.
    pub fn upstream(&self) -> &Name {
        &self.name
    }
}

/// An attempt without a first token past its time. The entry may cancel and retry it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overdue {
    /// Number of the attempt.
    pub serial: u64,
    /// The upstream that it was sent to.
    pub upstream: Name,
}

/// A change of an upstream's circuit, to be logged and counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The upstream.
    pub upstream: Name,
    /// The new state of its circuit.
    pub state: CircuitState,
}

impl Change {
    /// Writes the log line of the change.
    pub fn log(&self) {
        tracing::info!(
            event = super::events::CIRCUIT_CHANGED,
            upstream = %self.upstream,
            state = self.state.as_str(),
            "circuit changed"
        );
    }
}

/// A cache event of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The engine now holds the blocks.
    Stored {
        /// The workspace that they belong to.
        workspace: Name,
        /// Their hashes.
        prefix: Vec<u64>,
    },
    /// The engine dropped the blocks.
    Evicted {
        /// Their hashes.
        prefix: Vec<u64>,
    },
    /// The engine dropped everything.
    Cleared,
}

/// Chooses upstreams.
pub struct Router {
    settings: Settings,
    candidates: Arc<Candidates>,
    loads: Vec<Load>,
    /// Step time of each lock-step group: that of its slowest rank, in seconds.
    groups: Vec<f64>,
    index: PrefixIndex,
    /// Entries whose sends since a report the own ones stand for.
    peers: f64,
    serial: u64,
    changes: Vec<Change>,
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
    pub fn observe_entries(&mut self, live: u32) {
        self.peers = (f64::from(live) * PEER_PART).max(1.0);
    }

    /// Takes new candidates. What is known of an upstream is kept while its incarnation stays.
    pub fn install(&mut self, next: Arc<Candidates>, now: Duration) {
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
    pub fn reported(&mut self, upstream: u32, report: &LoadReport, now: Duration) {
        self.loads[upstream as usize].take_report(report, now);
        if let Some(group) = self.candidates.upstreams[upstream as usize].group {
            self.measure_group(usize::from(group));
        }
    }

    /// Takes a cache event, numbered `seq` by its engine. A gap in the numbers drops what was
    /// believed of that engine's cache; returns whether there was one.
    pub fn cached(&mut self, upstream: u32, seq: u64, event: &CacheEvent, now: Duration) -> bool {
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
        let left = request.left.as_secs_f64();
        if choice.forecast(best.upstream).last > left && !choice.any_in_time(pool) {
            let late = f64::from(best.first);
            return Err(Refusal { code: codes::TOO_LATE, retry: Duration::from_secs_f64(late) });
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
    pub fn sent(&mut self, decision: &Decision, request: &Request<'_>, now: Duration) -> Ticket {
        self.serial += 1;
        let index = decision.upstream as usize;
        let workspace = workspace_tag(request.workspace);
        let load = &mut self.loads[index];
        let tokens = f64::from(request.prompt.saturating_sub(decision.cached));
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
    pub fn started(&mut self, ticket: &Ticket, now: Duration) {
        let Some(index) = self.candidates.index_of(&ticket.name) else { return };
        self.loads[index as usize].start(ticket.serial, now);
    }

    /// Settles an attempt.
    pub fn finished(&mut self, ticket: Ticket, end: End, now: Duration) {
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
        match end {
            End::Completed { cached } => {
                load.learn_call(now.saturating_sub(attempt.sent));
                self.judge(index, !attempt.overdue, attempt.probe, now);
                if cached.is_some_and(|c| c < ticket.cached / 2) {
                    self.index.correct(ticket.workspace, &ticket.prefix, index, now);
                }
            }
            End::Failed => {
                self.judge(index, false, attempt.probe, now);
                self.index.evict(&ticket.prefix, index);
            }
            End::Refused | End::Cancelled => {
                load.circuit.given_up(attempt.probe);
                self.index.evict(&ticket.prefix, index);
            }
        }
    }

    /// Finds attempts that have no first token past their time, once each, and counts them as slow.
    pub fn sweep(&mut self, now: Duration) -> Vec<Overdue> {
        let mut found = Vec::new();
        for index in 0..self.loads.len() {
            while let Some(attempt) = self.loads[index].take_overdue(now) {
                self.judge(index as u32, false, attempt.probe, now);
                let upstream = self.candidates.upstreams[index].name.clone();
                found.push(Overdue { serial: attempt.serial, upstream });
            }
        }
        found
    }

    /// Takes the changes of circuits since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
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
        self.changes.push(Change { upstream, state });
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

/// One choice under way.
struct Choice<'a> {
    router: &'a Router,
    request: &'a Request<'a>,
    at: Moment,
    matches: Matches,
    homes: [Option<u32>; HOMES],
}

impl Choice<'_> {
    fn find_homes(&mut self, pool: &Pool) {
        let hot = HOT_PART * HOMES as f64 / pool.members.len().max(1) as f64;
        let is_hot = |key: u64| self.router.index.heat(key, self.at.now) > hot;
        let Some(key) = home_key(self.request.prefix, is_hot) else { return };
        self.homes = homes(&self.router.candidates, &pool.members, key, |i| self.fits(i));
        if pool.members.len() < SMALL_POOL {
            self.homes[HOMES - 1] = None;
        }
    }

    fn score_all(&self, pool: &Pool, scored: &mut ScoredList, rng: &mut impl Rng) {
        let (near, far) = pool.members.split_at(pool.near);
        self.homes.iter().flatten().for_each(|&i| self.score(i, Reason::Home, scored));
        if scored.best().is_some() {
            return;
        }
        self.draw(near, Reason::Drawn, scored, rng);
        self.draw(far, Reason::Spilled, scored, rng);
        if scored.iter().next().is_none() {
            self.scan(&pool.members, Reason::Scanned, scored);
        }
        if scored.iter().next().is_none() {
            // Liveness is a belief: a call tells more than a refusal would.
            self.scan(&pool.silent, Reason::Silent, scored);
        }
    }

    fn draw(&self, members: &[u32], reason: Reason, scored: &mut ScoredList, rng: &mut impl Rng) {
        let mut left = SAMPLES.min(members.len());
        for _ in 0..SAMPLES * DRAWS {
            if left == 0 {
                return;
            }
            let index = members[rng.random_range(0..members.len())];
            if self.fits(index) {
                self.score(index, reason, scored);
                left -= 1;
            }
        }
    }

    fn scan(&self, members: &[u32], reason: Reason, scored: &mut ScoredList) {
        let fitting = members.iter().filter(|&&i| self.fits(i));
        let best =
            fitting.min_by(|&&a, &&b| self.forecast(a).score.total_cmp(&self.forecast(b).score));
        if let Some(&index) = best {
            self.score(index, reason, scored);
        }
    }

    fn score(&self, index: u32, reason: Reason, scored: &mut ScoredList) {
        if scored.has(index) || !self.fits(index) {
            return;
        }
        let cached = self.cached(index);
        let found = self.forecast(index);
        scored.push(Scored {
            upstream: index,
            reason,
            score: found.score as f32,
            first: found.first as f32,
            cached: cached as u32,
        });
    }

    /// Tokens of the prompt that an upstream's cache is expected to hold. A home is expected to hold
    /// whatever this entry has seen before of the prefix, since the other entries send it there too.
    fn cached(&self, index: u32) -> f64 {
        let credit = |m: &Match| self.router.index.credit(m, self.at.now);
        let own = self.matches.find(index).map_or(0.0, credit);
        let shared = self.matches.iter().map(credit).fold(0.0, f64::max);
        let rank = self.homes.iter().position(|h| *h == Some(index));
        let home = rank.map_or(0.0, |r| HOME_TRUST.get(r).copied().unwrap_or(0.0) * shared);
        let own = if rank.is_some() { own } else { own * STRAY_TRUST };
        own.max(home).min(f64::from(self.request.prompt))
    }

    fn forecast(&self, index: u32) -> Forecast {
        let candidate = &self.router.candidates.upstreams[index as usize];
        let input = Input {
            load: &self.router.loads[index as usize],
            distance: candidate.distance,
            step: candidate.group.map(|g| self.router.groups[usize::from(g)]),
            cached: self.cached(index),
            peers: self.router.peers,
        };
        forecast(self.request, &input, &self.router.settings, self.at.now)
    }

    /// Tells whether an upstream may be given the request at all.
    fn fits(&self, index: u32) -> bool {
        let load = &self.router.loads[index as usize];
        load.circuit.allows(self.at.now) && self.could_serve(index)
    }

    fn could_serve(&self, index: u32) -> bool {
        let candidate = &self.router.candidates.upstreams[index as usize];
        let load = &self.router.loads[index as usize];
        let loaded =
            self.request.model.is_none_or(|key| !load.known() || load.models.contains(&key));
        let role =
            candidate.role == crate::fleet::Role::Mixed || candidate.role == self.request.role;
        loaded
            && role
            && self.takes_work(candidate)
            && !self.request.excluded.contains(&candidate.name)
    }

    fn takes_work(&self, candidate: &Candidate) -> bool {
        #[cfg(test)]
        if self.router.blind {
            return true;
        }
        candidate.takes_work(self.at.wall)
    }

    fn any_in_time(&self, pool: &Pool) -> bool {
        let left = self.request.left.as_secs_f64();
        pool.members.iter().any(|&i| self.fits(i) && self.forecast(i).last <= left)
    }

    fn refuse(&self, pool: &Pool) -> Refusal {
        let serving = pool.members.iter().filter(|&&i| self.could_serve(i));
        let wait = serving.map(|&i| self.router.loads[i as usize].circuit.retry(self.at.now)).min();
        let retry = wait.unwrap_or(crate::base::constants::LEAVE_LIMIT);
        Refusal { code: codes::NO_CANDIDATE, retry }
    }
}
