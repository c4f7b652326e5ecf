//! The virtual-time loop: entries, engines and plain services with the cores that production runs.

use super::constants::{
    ATTEMPTS_MAX, DEADLINE, ENGINES, ENTRIES, FAR, NEAR, OUTPUT_TOKENS, PLAIN, PLAIN_SLOTS,
    REPORT_EVERY, SWEEP_EVERY, ZONES,
};
use super::engine::Engine;
use super::faults::Fault;
use super::figures::{Ending, Figures};
use super::fleet::{ASSISTANT, LEDGER, MODEL, document};
use super::policy::{Pick, Policy};
use super::state::{Entry, Job, cost, offer};
use super::workload::{Arrival, HOG, workspaces};
use papayaproxy::Name;
use papayaproxy::fleet::{Document, Role};
use papayaproxy::limits::{Admission, AdmissionDecision, QueueDecision};
use papayaproxy::membership::LoadReport;
use papayaproxy::routing::{AttemptOutcome, ModelKey, Moment, Request};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
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
pub(super) enum Event {
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
pub(super) enum Back {
    Done(u32),
    Failed,
    Refused,
}

/// The state of a run.
pub(crate) struct World<'a> {
    pub(super) plan: &'a Plan<'a>,
    pub(super) document: Document,
    pub(super) events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    pub(super) number: u64,
    pub(super) now: Duration,
    pub(super) entries: Vec<Entry>,
    pub(super) engines: Vec<Engine>,
    pub(super) plain: Vec<Admission>,
    pub(super) jobs: Vec<Job>,
    pub(super) reports: Vec<LoadReport>,
    pub(super) names: Vec<Name>,
    pub(super) services: [Name; 2],
    pub(super) cut: bool,
    pub(super) frozen: bool,
    pub figures: Figures,
    /// Sends by upstream and half second.
    pub sends: Vec<Vec<u32>>,
}

/// Runs a plan to its end.
pub(crate) fn run<'a>(plan: &'a Plan<'a>) -> World<'a> {
    let mut world = World::new(plan);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at > plan.span + DEADLINE * 2 {
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

    pub(super) fn push(&mut self, at: Duration, event: Event) {
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

    pub(super) fn arrival(&self, job: usize) -> &'a Arrival {
        &self.plan.arrivals[job]
    }

    pub(super) fn measured(&self, job: usize) -> bool {
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
            AdmissionDecision::Admit => self.dispatch(job),
            AdmissionDecision::Refuse(_) => self.conclude(job, Ending::Refused),
            AdmissionDecision::Queue { .. } if !self.plan.queues => {
                entry.gate.withdraw(job as u64);
                self.conclude(job, Ending::Refused);
            }
            AdmissionDecision::Queue { displaced } => {
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
                QueueDecision::Run(id) => self.dispatch(id as usize),
                QueueDecision::Expire(id) => self.conclude(id as usize, Ending::Refused),
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
            prompt_tokens: arrival.prompt,
            output_tokens: if arrival.plain { 0 } else { OUTPUT_TOKENS },
            time_left: left,
            excluded: &tried,
        };
        let at = Moment { now: self.now, wall: SystemTime::UNIX_EPOCH + self.now };
        let entry = &mut self.entries[arrival.entry];
        let pick = (self.plan.policy.choose)(&mut entry.picture, &request, &members, at);
        self.jobs[job].attempt += 1;
        let upstream = match pick {
            Pick::Routed(decision) => {
                let ticket = entry.picture.router.record_sent(&decision, &request, self.now);
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

    pub(super) fn net(&self, entry: usize, upstream: usize) -> Duration {
        if entry % ZONES == upstream % ZONES { NEAR } else { FAR }
    }

    pub(super) fn reaches(&self, entry: usize, upstream: usize) -> bool {
        !self.cut || entry.is_multiple_of(ZONES) == upstream.is_multiple_of(ZONES)
    }

    pub(super) fn current(&self, job: usize, attempt: u32) -> bool {
        !self.jobs[job].ended && self.jobs[job].attempt == attempt
    }

    pub(super) fn reply(&mut self, job: usize, attempt: u32, back: Back) {
        let net = self.net(self.arrival(job).entry, self.jobs[job].upstream);
        self.push(self.now + net, Event::Back(job, attempt, back));
    }

    fn first(&mut self, job: usize, attempt: u32) {
        let arrival = self.arrival(job);
        if !self.current(job, attempt) || !self.reaches(arrival.entry, self.jobs[job].upstream) {
            return;
        }
        if let Some(ticket) = &self.jobs[job].ticket {
            self.entries[arrival.entry].picture.router.record_start(ticket, self.now);
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
            Back::Done(cached) => AttemptOutcome::Completed { cached_tokens: Some(cached) },
            Back::Failed => AttemptOutcome::Failed,
            Back::Refused => AttemptOutcome::Refused,
        };
        self.settle(job, end);
        match back {
            Back::Done(_) => self.conclude(job, Ending::Answered),
            Back::Failed => self.retry(job, Ending::Lost),
            Back::Refused => self.retry(job, Ending::Refused),
        }
    }

    pub(super) fn settle(&mut self, job: usize, end: AttemptOutcome) {
        let Some(ticket) = self.jobs[job].ticket.take() else { return };
        let index = self.arrival(job).entry;
        let entry = &mut self.entries[index];
        entry.serials.swap_remove(&ticket.serial());
        entry.picture.router.record_end(ticket, end, self.now);
    }

    /// Tries a request again, or ends it as `otherwise`.
    pub(super) fn retry(&mut self, job: usize, otherwise: Ending) {
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

    fn sweep(&mut self, entry: usize) {
        if self.now < self.plan.span + DEADLINE {
            self.push(self.now + SWEEP_EVERY, Event::Sweep(entry));
        }
        for overdue in self.entries[entry].picture.router.take_overdue(self.now) {
            let Some(&job) = self.entries[entry].serials.get(&overdue.serial) else { continue };
            self.abandon(job);
        }
        self.drain_entry(entry);
        self.figures.changes +=
            self.entries[entry].picture.router.take_circuit_changes().len() as u64;
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
        self.settle(job, AttemptOutcome::Cancelled);
        let upstream = self.jobs[job].upstream;
        if self.reaches(arrival.entry, upstream) && !arrival.plain {
            self.cancel(upstream, job);
        }
        let name = self.document.upstreams.get_index(upstream).map(|(n, _)| n.clone());
        self.jobs[job].tried.extend(name);
        self.dispatch(job);
    }
}
