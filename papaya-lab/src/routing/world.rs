//! The virtual-time loop: entries, engines and plain services with the cores that production runs.

use super::constants::{
    ATTEMPTS_MAX, ENGINES, ENTRIES, FAR, HEADROOM, MISSED_AFTER, NEAR, OUTPUT_TOKENS, PLAIN,
    PLAIN_SLOTS, REPORT_EVERY, SLOTS, SWEEP_EVERY, ZONES,
};
use super::engine::Engine;
use super::faults::{Fault, FaultKind};
use super::figures::{Ending, Figures};
use super::fleet::{ASSISTANT, LEDGER, MODEL, RANKS, document, zone_of};
use super::policy::{Pick, Picture, Policy, Seen};
use super::workload::{Arrival, HOG, PARTS, workspaces};
use indexmap::IndexMap;
use papayaproxy::Name;
use papayaproxy::fleet::{Document, Role};
use papayaproxy::limits::{Admission, EntryShare, Offer, RetryBudget, Step, Verdict};
use papayaproxy::membership::{LoadReport, LoadedModel};
use papayaproxy::routing::{
    Candidates, End, ModelKey, Moment, Presence, Request, Router, Settings, Ticket,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// What one run is made of.
pub(crate) struct Plan<'a> {
    pub policy: Policy,
    pub arrivals: &'a [Arrival],
    /// Lag of the load reports.
    pub lag: Duration,
    /// Start of the measured part.
    pub warm: Duration,
    pub span: Duration,
    pub faults: &'a [Fault],
    pub seed: u64,
    /// Whether requests over the capacity wait; they are refused at once otherwise.
    pub queues: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Reach(usize, u32),
    StepEnd(usize),
    Served(usize, u32),
    First(usize, u32),
    Back(usize, u32, Back),
    Report(usize),
    Heard(usize, usize),
    Sweep(usize),
    FaultStart(usize),
    FaultEnd(usize),
    Missed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Back {
    Done(u32),
    Failed,
    Refused,
}

struct Job {
    attempt: u32,
    upstream: usize,
    ticket: Option<Ticket>,
    tried: Vec<Name>,
    admitted: Duration,
    started: Duration,
    first: bool,
    ended: bool,
}

struct Entry {
    picture: Picture,
    gate: Admission,
    retries: RetryBudget,
    share: EntryShare,
    serials: IndexMap<u64, usize>,
}

/// The state of a run.
pub(crate) struct World<'a> {
    plan: &'a Plan<'a>,
    document: Document,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    now: Duration,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    plain: Vec<Admission>,
    jobs: Vec<Job>,
    reports: Vec<LoadReport>,
    names: Vec<Name>,
    services: [Name; 2],
    cut: bool,
    frozen: bool,
    pub figures: Figures,
    /// Sends by upstream and half second.
    pub sends: Vec<Vec<u32>>,
}

/// Runs a plan to its end.
pub(crate) fn run<'a>(plan: &'a Plan<'a>) -> World<'a> {
    let mut world = World::new(plan);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at > plan.span + super::constants::DEADLINE * 2 {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    let open = world.jobs.iter().filter(|j| !j.ended).count() as u64;
    world.figures.lost += open;
    world
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan<'a>) -> Self {
        let document = document();
        let entries = (0..ENTRIES).map(|i| Entry::open(i, &document, plan.seed)).collect();
        let mut world = Self {
            plan,
            names: workspaces(),
            services: [ASSISTANT.into(), LEDGER.into()],
            events: BinaryHeap::new(),
            number: 0,
            now: Duration::ZERO,
            entries,
            engines: (0..ENGINES).map(|_| Engine::new()).collect(),
            plain: (0..PLAIN).map(|_| Admission::new(PLAIN_SLOTS)).collect(),
            jobs: plan.arrivals.iter().map(|_| Job::new()).collect(),
            reports: Vec::new(),
            cut: false,
            frozen: false,
            figures: Figures::new(),
            sends: vec![Vec::new(); ENGINES + PLAIN],
            document,
        };
        world.schedule_start();
        world
    }

    fn schedule_start(&mut self) {
        for (index, arrival) in self.plan.arrivals.iter().enumerate() {
            self.push(arrival.at, Event::Arrive(index));
        }
        for index in 0..ENGINES + PLAIN {
            self.push(REPORT_EVERY * index as u32 / (ENGINES + PLAIN) as u32, Event::Report(index));
        }
        for index in 0..ENTRIES {
            self.push(SWEEP_EVERY * index as u32 / ENTRIES as u32, Event::Sweep(index));
        }
        for (index, fault) in self.plan.faults.iter().enumerate() {
            self.push(fault.from, Event::FaultStart(index));
            self.push(fault.until, Event::FaultEnd(index));
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Reach(job, attempt) => self.reach(job, attempt),
            Event::StepEnd(engine) => self.step_end(engine),
            Event::Served(job, attempt) => self.served(job, attempt),
            Event::First(job, attempt) => self.first(job, attempt),
            Event::Back(job, attempt, back) => self.back(job, attempt, back),
            Event::Report(upstream) => self.report(upstream),
            Event::Heard(upstream, report) => self.heard(upstream, report),
            Event::Sweep(entry) => self.sweep(entry),
            Event::FaultStart(index) => self.fault(index, true),
            Event::FaultEnd(index) => self.fault(index, false),
            Event::Missed => self.missed(),
        }
    }

    fn arrival(&self, job: usize) -> &'a Arrival {
        &self.plan.arrivals[job]
    }

    fn measured(&self, job: usize) -> bool {
        self.arrival(job).at >= self.plan.warm
    }

    fn arrive(&mut self, job: usize) {
        let arrival = self.arrival(job);
        if arrival.plain {
            return self.dispatch(job);
        }
        if self.measured(job) {
            self.figures.offered += 1;
        }
        let entry = &mut self.entries[arrival.entry];
        let workspace = &self.names[arrival.workspace];
        entry.retries.earn(workspace);
        let offer = offer(job as u64, arrival, workspace);
        match entry.gate.offer(offer, self.now) {
            Verdict::Admit => self.dispatch(job),
            Verdict::Refuse(_) => self.conclude(job, Ending::Refused),
            Verdict::Queue { .. } if !self.plan.queues => {
                entry.gate.withdraw(job as u64);
                self.conclude(job, Ending::Refused);
            }
            Verdict::Queue { displaced } => {
                if let Some(other) = displaced {
                    self.conclude(other as usize, Ending::Refused);
                }
            }
        }
    }

    /// Runs what waits at an entry and may go now.
    fn drain_entry(&mut self, entry: usize) {
        while let Some(step) = self.entries[entry].gate.next(self.now) {
            match step {
                Step::Run(id) => self.dispatch(id as usize),
                Step::Expire(id) => self.conclude(id as usize, Ending::Refused),
            }
        }
    }

    fn dispatch(&mut self, job: usize) {
        let arrival = self.arrival(job);
        if self.jobs[job].attempt == 0 {
            self.jobs[job].admitted = self.now;
        }
        let members: Vec<u32> = if arrival.plain {
            (ENGINES as u32..(ENGINES + PLAIN) as u32).collect()
        } else {
            (0..ENGINES as u32).collect()
        };
        let tried = std::mem::take(&mut self.jobs[job].tried);
        let left = arrival.deadline.saturating_sub(self.now);
        let request = Request {
            service: &self.services[usize::from(arrival.plain)],
            model: (!arrival.plain).then(|| ModelKey::new(MODEL, 1, None)),
            role: Role::Mixed,
            workspace: &self.names[arrival.workspace],
            prefix: &arrival.prefix,
            prompt: arrival.prompt,
            output: if arrival.plain { 0 } else { OUTPUT_TOKENS },
            left,
            excluded: &tried,
        };
        let at = Moment { now: self.now, wall: SystemTime::UNIX_EPOCH + self.now };
        let entry = &mut self.entries[arrival.entry];
        let pick = (self.plan.policy.choose)(&mut entry.picture, &request, &members, at);
        self.jobs[job].attempt += 1;
        let upstream = match pick {
            Pick::Routed(decision) => {
                let ticket = entry.picture.router.sent(&decision, &request, self.now);
                entry.serials.insert(ticket.serial(), job);
                self.jobs[job].ticket = Some(ticket);
                decision.upstream as usize
            }
            Pick::Bare(upstream) => upstream as usize,
            Pick::Refused => return self.conclude(job, Ending::Refused),
        };
        self.jobs[job].tried = tried;
        self.jobs[job].upstream = upstream;
        self.count_send(upstream);
        let net = self.net(arrival.entry, upstream);
        let attempt = self.jobs[job].attempt;
        self.push(self.now + net, Event::Reach(job, attempt));
    }

    fn count_send(&mut self, upstream: usize) {
        let slot = (self.now.as_millis() / 500) as usize;
        let sends = &mut self.sends[upstream];
        if sends.len() <= slot {
            sends.resize(slot + 1, 0);
        }
        sends[slot] += 1;
    }

    fn net(&self, entry: usize, upstream: usize) -> Duration {
        if entry % ZONES == upstream % ZONES { NEAR } else { FAR }
    }

    fn reaches(&self, entry: usize, upstream: usize) -> bool {
        !self.cut || entry.is_multiple_of(ZONES) == upstream.is_multiple_of(ZONES)
    }

    fn current(&self, job: usize, attempt: u32) -> bool {
        !self.jobs[job].ended && self.jobs[job].attempt == attempt
    }

    fn reach(&mut self, job: usize, attempt: u32) {
        let arrival = self.arrival(job);
        let upstream = self.jobs[job].upstream;
        if !self.current(job, attempt) || !self.reaches(arrival.entry, upstream) {
            return;
        }
        let offer = offer(id_of(job, attempt), arrival, &self.names[arrival.workspace]);
        if arrival.plain {
            return match self.plain[upstream - ENGINES].offer(offer, self.now) {
                Verdict::Admit => self.push(self.now + arrival.call, Event::Served(job, attempt)),
                Verdict::Queue { .. } => {}
                Verdict::Refuse(_) => self.reply(job, attempt, Back::Refused),
            };
        }
        if self.engines[upstream].failing {
            return self.reply(job, attempt, Back::Failed);
        }
        match self.engines[upstream].gate.offer(offer, self.now) {
            Verdict::Admit => self.begin(upstream, job, attempt),
            Verdict::Refuse(_) => self.reply(job, attempt, Back::Refused),
            Verdict::Queue { displaced } => {
                self.engines[upstream].queued_tokens += u64::from(arrival.prompt);
                if let Some(id) = displaced {
                    self.unqueue(upstream, id);
                }
            }
        }
    }

    /// Answers a request that lost its place at an agent.
    fn unqueue(&mut self, engine: usize, id: u64) {
        let (job, attempt) = job_of(id);
        self.engines[engine].queued_tokens -= u64::from(self.arrival(job).prompt);
        self.reply(job, attempt, Back::Refused);
    }

    fn begin(&mut self, engine: usize, job: usize, attempt: u32) {
        let arrival = self.arrival(job);
        self.jobs[job].started = self.now;
        let output = arrival.output;
        self.engines[engine].add(job, attempt, &arrival.prefix, arrival.prompt, output);
        self.kick(engine);
    }

    fn kick(&mut self, engine: usize) {
        let found = &mut self.engines[engine];
        if found.stepping || found.stalled || found.running.is_empty() {
            return;
        }
        let (took, decoding) = found.begin();
        if self.now >= self.plan.warm {
            self.figures.note_gap(took, decoding);
        }
        self.push(self.now + took, Event::StepEnd(engine));
    }

    fn step_end(&mut self, engine: usize) {
        for progress in self.engines[engine].end() {
            let (job, attempt) = (progress.job, progress.attempt);
            let arrival = self.arrival(job);
            let net = self.net(arrival.entry, engine);
            if progress.first {
                if self.measured(job) {
                    self.figures.prompt_tokens += u64::from(arrival.prompt);
                    self.figures.cached_tokens += u64::from(progress.cached);
                }
                self.push(self.now + net, Event::First(job, attempt));
            }
            if progress.last {
                self.leave(engine, job);
                self.reply(job, attempt, Back::Done(progress.cached));
            }
        }
        self.drain_engine(engine);
        self.kick(engine);
    }

    /// Frees the place that a request had at an engine's agent.
    fn leave(&mut self, engine: usize, job: usize) {
        let arrival = self.arrival(job);
        let took = self.now - self.jobs[job].started;
        let workspace = &self.names[arrival.workspace];
        self.engines[engine].gate.release(workspace, cost(arrival), took);
    }

    fn drain_engine(&mut self, engine: usize) {
        while let Some(step) = self.engines[engine].gate.next(self.now) {
            match step {
                Step::Expire(id) => self.unqueue(engine, id),
                Step::Run(id) => {
                    let (job, attempt) = job_of(id);
                    self.engines[engine].queued_tokens -= u64::from(self.arrival(job).prompt);
                    self.begin(engine, job, attempt);
                }
            }
        }
    }

    fn served(&mut self, job: usize, attempt: u32) {
        let arrival = self.arrival(job);
        let upstream = self.jobs[job].upstream;
        let workspace = self.names[arrival.workspace].clone();
        let gate = &mut self.plain[upstream - ENGINES];
        gate.release(&workspace, cost(arrival), arrival.call);
        self.reply(job, attempt, Back::Done(0));
        while let Some(step) = self.plain[upstream - ENGINES].next(self.now) {
            let (Step::Run(id) | Step::Expire(id)) = step;
            let (next, attempt) = job_of(id);
            match step {
                Step::Run(_) => {
                    self.push(self.now + self.arrival(next).call, Event::Served(next, attempt));
                }
                Step::Expire(_) => self.reply(next, attempt, Back::Refused),
            }
        }
    }

    fn reply(&mut self, job: usize, attempt: u32, back: Back) {
        let net = self.net(self.arrival(job).entry, self.jobs[job].upstream);
        self.push(self.now + net, Event::Back(job, attempt, back));
    }

    fn first(&mut self, job: usize, attempt: u32) {
        let arrival = self.arrival(job);
        if !self.current(job, attempt) || !self.reaches(arrival.entry, self.jobs[job].upstream) {
            return;
        }
        if let Some(ticket) = &self.jobs[job].ticket {
            self.entries[arrival.entry].picture.router.started(ticket, self.now);
        }
        if !self.jobs[job].first && self.measured(job) {
            let took = self.now - arrival.at;
            self.figures.note_first(took, arrival.at, arrival.workspace != HOG);
        }
        self.jobs[job].first = true;
    }

    fn back(&mut self, job: usize, attempt: u32, back: Back) {
        let arrival = self.arrival(job);
        if !self.current(job, attempt) || !self.reaches(arrival.entry, self.jobs[job].upstream) {
            return;
        }
        let end = match back {
            Back::Done(cached) => End::Completed { cached: Some(cached) },
            Back::Failed => End::Failed,
            Back::Refused => End::Refused,
        };
        self.settle(job, end);
        match back {
            Back::Done(_) => self.conclude(job, Ending::Answered),
            Back::Failed => self.retry(job, Ending::Lost),
            Back::Refused => self.retry(job, Ending::Refused),
        }
    }

    fn settle(&mut self, job: usize, end: End) {
        let Some(ticket) = self.jobs[job].ticket.take() else { return };
        let index = self.arrival(job).entry;
        let entry = &mut self.entries[index];
        entry.serials.swap_remove(&ticket.serial());
        entry.picture.router.finished(ticket, end, self.now);
    }

    /// Tries a request again, or ends it as `otherwise`.
    fn retry(&mut self, job: usize, otherwise: Ending) {
        let arrival = self.arrival(job);
        let entry = &mut self.entries[arrival.entry];
        let workspace = &self.names[arrival.workspace];
        let may = self.jobs[job].attempt < ATTEMPTS_MAX && self.now < arrival.deadline;
        if !may || !entry.retries.try_take(workspace) {
            return self.conclude(job, otherwise);
        }
        self.figures.retries += 1;
        let upstream = self.jobs[job].upstream;
        let name = self.document.upstreams.get_index(upstream).map(|(n, _)| n.clone());
        self.jobs[job].tried.extend(name);
        self.dispatch(job);
    }

    fn conclude(&mut self, job: usize, ending: Ending) {
        let arrival = self.arrival(job);
        assert!(!self.jobs[job].ended, "request {job} was answered twice");
        self.jobs[job].ended = true;
        if self.measured(job) {
            self.count_ending(job, ending);
        }
        if !arrival.plain && self.jobs[job].attempt > 0 {
            let took = self.now - self.jobs[job].admitted;
            let workspace = self.names[arrival.workspace].clone();
            self.entries[arrival.entry].gate.release(&workspace, cost(arrival), took);
            self.drain_entry(arrival.entry);
        }
    }

    fn count_ending(&mut self, job: usize, ending: Ending) {
        let arrival = self.arrival(job);
        let in_time = self.now <= arrival.deadline;
        match ending {
            Ending::Answered if arrival.plain => self.figures.note_plain(self.now - arrival.at),
            Ending::Answered if in_time => self.figures.note_in_time(self.now),
            Ending::Answered => self.figures.late += 1,
            Ending::Refused => {
                self.figures.refused += 1;
                self.figures.calm_refused += u64::from(arrival.workspace != HOG);
            }
            Ending::Lost => self.figures.lost += 1,
        }
    }

    fn report(&mut self, upstream: usize) {
        if self.now < self.plan.span {
            self.push(self.now + REPORT_EVERY, Event::Report(upstream));
        }
        if self.frozen {
            return;
        }
        let report = self.measure(upstream);
        self.reports.push(report);
        self.push(self.now + self.plan.lag, Event::Heard(upstream, self.reports.len() - 1));
    }

    fn measure(&self, upstream: usize) -> LoadReport {
        let sequence = self.reports.len() as u64;
        let base = LoadReport { sequence, age: self.plan.lag, ..LoadReport::default() };
        if upstream >= ENGINES {
            let gate = &self.plain[upstream - ENGINES];
            let (queued, running) = (gate.waiting() as u32, gate.running());
            return LoadReport { queued, running, slots: PLAIN_SLOTS, ..base };
        }
        let engine = &self.engines[upstream];
        let loaded = LoadedModel { model: MODEL.into(), version: 1, adapters: Vec::new() };
        LoadReport {
            queued: engine.gate.waiting() as u32,
            running: engine.gate.running(),
            slots: SLOTS,
            waiting_tokens: engine.waiting_tokens(),
            step: Duration::from_secs_f64(engine.step),
            loaded: vec![loaded],
            ..base
        }
    }

    fn heard(&mut self, upstream: usize, report: usize) {
        for index in 0..ENTRIES {
            if !self.reaches(index, upstream) {
                continue;
            }
            let picture = &mut self.entries[index].picture;
            let report = &self.reports[report];
            picture.seen[upstream].requests = report.queued + report.running;
            picture.router.reported(upstream as u32, report, self.now);
        }
    }

    fn sweep(&mut self, entry: usize) {
        if self.now < self.plan.span + super::constants::DEADLINE {
            self.push(self.now + SWEEP_EVERY, Event::Sweep(entry));
        }
        for overdue in self.entries[entry].picture.router.sweep(self.now) {
            let Some(&job) = self.entries[entry].serials.get(&overdue.serial) else { continue };
            self.abandon(job);
        }
        self.drain_entry(entry);
        self.figures.changes += self.entries[entry].picture.router.take_changes().len() as u64;
    }

    /// Cancels an overdue attempt and tries elsewhere, if the retry budget allows.
    fn abandon(&mut self, job: usize) {
        let arrival = self.arrival(job);
        let workspace = &self.names[arrival.workspace];
        let entry = &mut self.entries[arrival.entry];
        if self.jobs[job].attempt >= ATTEMPTS_MAX || !entry.retries.try_take(workspace) {
            return;
        }
        self.figures.retries += 1;
        self.settle(job, End::Cancelled);
        let upstream = self.jobs[job].upstream;
        if self.reaches(arrival.entry, upstream) && !arrival.plain {
            self.cancel(upstream, job);
        }
        let name = self.document.upstreams.get_index(upstream).map(|(n, _)| n.clone());
        self.jobs[job].tried.extend(name);
        self.dispatch(job);
    }

    fn cancel(&mut self, engine: usize, job: usize) {
        let attempt = self.jobs[job].attempt;
        if self.engines[engine].gate.withdraw(id_of(job, attempt)) {
            self.engines[engine].queued_tokens -= u64::from(self.arrival(job).prompt);
        } else if self.engines[engine].cancel(job, attempt) {
            self.leave(engine, job);
            self.drain_engine(engine);
        }
    }

    fn fault(&mut self, index: usize, on: bool) {
        match self.plan.faults[index].kind {
            FaultKind::Stall(engine) => {
                self.engines[engine].stalled = on;
                self.kick(engine);
            }
            FaultKind::Errors(engine) => self.engines[engine].failing = on,
            FaultKind::Straggler => {
                let ranks = &mut self.engines[ENGINES - RANKS..];
                ranks.iter_mut().for_each(|e| e.drag = if on { 2.5 } else { 1.0 });
            }
            FaultKind::Freeze => self.frozen = on,
            FaultKind::Cut => {
                self.cut = on;
                let wait = if on { MISSED_AFTER } else { REPORT_EVERY };
                self.push(self.now + wait, Event::Missed);
            }
        }
    }

    /// Entries notice which upstreams and entries they reach.
    fn missed(&mut self) {
        for index in 0..ENTRIES {
            let reach: Vec<bool> = (0..ENGINES + PLAIN).map(|u| self.reaches(index, u)).collect();
            let peers = (0..ENTRIES).filter(|&e| self.reaches(index, e)).count();
            let names: Vec<Name> = self.document.upstreams.keys().cloned().collect();
            let live = |name: &Name| {
                let found = names.iter().position(|n| n == name);
                Presence { live: found.is_some_and(|i| reach[i]), incarnation: None }
            };
            let next = Candidates::prepare(&self.document, &zone_of(index), live);
            let slots = reach[..ENGINES].iter().filter(|r| **r).count() as u32 * SLOTS;
            let entry = &mut self.entries[index];
            entry.picture.router.install(Arc::new(next), self.now);
            entry.picture.seen.iter_mut().zip(&reach).for_each(|(s, r)| s.live = *r);
            entry.picture.router.observe_entries(peers as u32);
            entry.share.observe(peers as u32, self.now);
            entry.resize(slots);
        }
        self.fail_unreachable();
    }

    fn fail_unreachable(&mut self) {
        for job in 0..self.jobs.len() {
            let state = &self.jobs[job];
            let sent = state.attempt > 0 && !state.ended;
            if sent && !self.reaches(self.arrival(job).entry, state.upstream) {
                self.settle(job, End::Failed);
                self.retry(job, Ending::Lost);
            }
        }
    }
}

impl Entry {
    fn open(index: usize, document: &Document, seed: u64) -> Self {
        let mut router = Router::new(Settings::default());
        let live = |_: &Name| Presence { live: true, incarnation: None };
        let candidates = Candidates::prepare(document, &zone_of(index), live);
        router.install(Arc::new(candidates), Duration::ZERO);
        router.observe_entries(ENTRIES as u32);
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

    fn resize(&mut self, slots: u32) {
        let part = self.share.of(f64::from(slots) * HEADROOM);
        self.gate.resize(part.ceil() as u32);
    }
}

impl Job {
    fn new() -> Self {
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

fn offer(id: u64, arrival: &Arrival, workspace: &Name) -> Offer {
    Offer {
        id,
        workspace: workspace.clone(),
        share: (PARTS[arrival.workspace] * 100.0) as u32,
        priority: arrival.priority,
        deadline: arrival.deadline,
        expected: Duration::from_secs(if arrival.plain { 0 } else { 1 }),
        cost: cost(arrival),
    }
}

fn cost(arrival: &Arrival) -> u32 {
    arrival.prompt + arrival.output
}

fn id_of(job: usize, attempt: u32) -> u64 {
    job as u64 * 16 + u64::from(attempt)
}

fn job_of(id: u64) -> (usize, u32) {
    ((id / 16) as usize, (id % 16) as u32)
}
