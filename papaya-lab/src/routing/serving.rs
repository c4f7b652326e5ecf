//! The agents' and engines' side of a run.

use super::constants::{ENGINES, ENTRIES, PLAIN_SLOTS, REPORT_EVERY, SLOTS};
use super::fleet::MODEL;
use super::state::{cost, id_of, job_of, offer};
use super::world::{Back, Event, World};
use papayaproxy::limits::{AdmissionDecision, QueueDecision};
use papayaproxy::membership::{LoadReport, LoadedModel};
use std::time::Duration;

impl World<'_> {
    pub(super) fn reach(&mut self, job: usize, attempt: u32) {
        let arrival = self.arrival(job);
        let upstream = self.jobs[job].upstream;
        if !self.current(job, attempt) || !self.reaches(arrival.entry, upstream) {
            return;
        }
        let offer = offer(id_of(job, attempt), arrival, &self.names[arrival.workspace]);
        if arrival.plain {
            return match self.plain[upstream - ENGINES].offer(offer, self.now) {
                AdmissionDecision::Admit => {
                    self.push(self.now + arrival.call, Event::Served(job, attempt));
                }
                AdmissionDecision::Queue { .. } => {}
                AdmissionDecision::Refuse(_) => self.reply(job, attempt, Back::Refused),
            };
        }
        if self.engines[upstream].failing {
            return self.reply(job, attempt, Back::Failed);
        }
        match self.engines[upstream].gate.offer(offer, self.now) {
            AdmissionDecision::Admit => self.begin(upstream, job, attempt),
            AdmissionDecision::Refuse(_) => self.reply(job, attempt, Back::Refused),
            AdmissionDecision::Queue { displaced } => {
                self.engines[upstream].queued_tokens += u64::from(arrival.prompt);
                if let Some(id) = displaced {
                    self.unqueue(upstream, id);
                }
            }
        }
    }

    /// Answers a request that lost its place at an agent.
    pub(super) fn unqueue(&mut self, engine: usize, id: u64) {
        let (job, attempt) = job_of(id);
        self.engines[engine].queued_tokens -= u64::from(self.arrival(job).prompt);
        self.reply(job, attempt, Back::Refused);
    }

    pub(super) fn begin(&mut self, engine: usize, job: usize, attempt: u32) {
        let arrival = self.arrival(job);
        self.jobs[job].started = self.now;
        let output = arrival.output;
        self.engines[engine].add(job, attempt, &arrival.prefix, arrival.prompt, output);
        self.kick(engine);
    }

    pub(super) fn kick(&mut self, engine: usize) {
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

    pub(super) fn step_end(&mut self, engine: usize) {
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
    pub(super) fn leave(&mut self, engine: usize, job: usize) {
        let arrival = self.arrival(job);
        let took = self.now - self.jobs[job].started;
        let workspace = &self.names[arrival.workspace];
        self.engines[engine].gate.release(workspace, cost(arrival), took);
    }

    pub(super) fn drain_engine(&mut self, engine: usize) {
        while let Some(step) = self.engines[engine].gate.next(self.now) {
            match step {
                QueueDecision::Expire(id) => self.unqueue(engine, id),
                QueueDecision::Run(id) => {
                    let (job, attempt) = job_of(id);
                    self.engines[engine].queued_tokens -= u64::from(self.arrival(job).prompt);
                    self.begin(engine, job, attempt);
                }
            }
        }
    }

    pub(super) fn served(&mut self, job: usize, attempt: u32) {
        let arrival = self.arrival(job);
        let upstream = self.jobs[job].upstream;
        let workspace = self.names[arrival.workspace].clone();
        let gate = &mut self.plain[upstream - ENGINES];
        gate.release(&workspace, cost(arrival), arrival.call);
        self.reply(job, attempt, Back::Done(0));
        while let Some(step) = self.plain[upstream - ENGINES].next(self.now) {
            let (QueueDecision::Run(id) | QueueDecision::Expire(id)) = step;
            let (next, attempt) = job_of(id);
            match step {
                QueueDecision::Run(_) => {
                    self.push(self.now + self.arrival(next).call, Event::Served(next, attempt));
                }
                QueueDecision::Expire(_) => self.reply(next, attempt, Back::Refused),
            }
        }
    }

    pub(super) fn cancel(&mut self, engine: usize, job: usize) {
        let attempt = self.jobs[job].attempt;
        if self.engines[engine].gate.withdraw(id_of(job, attempt)) {
            self.engines[engine].queued_tokens -= u64::from(self.arrival(job).prompt);
        } else if self.engines[engine].cancel(job, attempt) {
            self.leave(engine, job);
            self.drain_engine(engine);
        }
    }

    pub(super) fn report(&mut self, upstream: usize) {
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

    pub(super) fn measure(&self, upstream: usize) -> LoadReport {
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

    pub(super) fn heard(&mut self, upstream: usize, report: usize) {
        for index in 0..ENTRIES {
            if !self.reaches(index, upstream) {
                continue;
            }
            let picture = &mut self.entries[index].picture;
            let report = &self.reports[report];
            picture.seen[upstream].requests = report.queued + report.running;
            picture.router.apply_report(upstream as u32, report, self.now);
        }
    }
}
