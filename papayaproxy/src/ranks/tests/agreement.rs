//! Randomised simulation of the agreement with lost and late orders, lost, late and duplicated
//! datagrams, killed and disconnected agents, two leads at once, and crashing ranks.
//!
//! Long run: `PROPTEST_CASES=20000 cargo test --release -p papayaproxy --lib ranks::tests`.

use crate::ranks::constants::UNREACHABLE_STEPS;
use crate::ranks::lead::{Lead, MapSizes, Phase, Reports};
use crate::ranks::message::{AgentReport, ArmedMap, Command, CountSample, LeadCommand, RankStatus};
use crate::ranks::rank::{Action, Order, RankTracker};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const RANKS: usize = 3;
/// Ticks of one run.
const TICKS: u64 = 1500;
const TICK: Duration = Duration::from_millis(20);
/// Ticks without faults at the end of a run.
const FAULT_FREE_TICKS: u64 = 900;
/// Longest time for which a group may be held while all agents are up and nothing is lost.
const HOLD_MAX: Duration = Duration::from_secs(5);

/// Safeguards that a run can disable, to show that the simulation detects their absence.
#[derive(Clone, Copy)]
struct Guards {
    /// Replicas refuse orders that expect another sequence than theirs.
    sequence_check: bool,
    /// The lead waits until no unanswered order can take effect any more.
    uncertain_wait: bool,
}

const ALL_GUARDS: Guards = Guards { sequence_check: true, uncertain_wait: true };

/// A replica that behaves as its published interface specifies.
#[derive(Clone, Debug)]
struct Replica {
    sequence: u64,
    version: u64,
    highest: u64,
    prepared: Option<u64>,
    copying: Option<(u64, Duration)>,
    armed: Option<ArmedMap>,
    held: Option<u64>,
    late_orders: Vec<(Duration, Order, u64, u64)>,
}

struct Agent {
    tracker: RankTracker,
    lead: Lead,
    reports: Reports,
    proposed_at: Duration,
    down_ticks: u64,
    silent_until: Duration,
}

struct World {
    rng: StdRng,
    /// Decides when demand shifts, so that a seed's faults do not depend on it.
    shifts: StdRng,
    guards: Guards,
    now: Duration,
    epoch: u64,
    step: u64,
    replicas: Vec<Replica>,
    agents: Vec<Agent>,
    datagrams: Vec<(Duration, usize, Datagram)>,
    fault_rate: f64,
    /// End of a period without requests, in which no passes run.
    idle_until: Duration,
    held_since: Option<Duration>,
    switches: u64,
}

#[derive(Clone, Debug)]
enum Datagram {
    Report(Box<AgentReport>),
    Command(Box<LeadCommand>),
}

impl Replica {
    fn new() -> Self {
        Self {
            sequence: 0,
            version: 0,
            highest: 0,
            prepared: None,
            copying: None,
            armed: None,
            held: None,
            late_orders: Vec::new(),
        }
    }

    /// Applies an order as the published interface specifies; `true` if it was accepted.
    fn apply(&mut self, order: &Order, step: u64, now: Duration) -> bool {
        let is_valid = match order {
            Order::Prepare { version, .. } => {
                let is_valid = *version > self.highest && self.armed.is_none();
                if is_valid {
                    self.highest = *version;
                    self.copying = Some((*version, now + Duration::from_millis(300)));
                }
                is_valid
            }
            Order::Arm { version, step: at } => {
                let is_valid =
                    self.prepared == Some(*version) && *at > step && self.armed.is_none();
                if is_valid {
                    self.armed = Some(ArmedMap { version: *version, step: Some(*at) });
                }
                is_valid
            }
            Order::Disarm { version } => {
                let is_valid = self.armed.is_some_and(|a| a.version == *version);
                if is_valid {
                    self.armed = None;
                }
                is_valid
            }
            Order::Hold { step: at } => {
                let is_valid = self.held.is_none() && *at > step;
                if is_valid {
                    self.held = Some(*at);
                }
                is_valid
            }
            Order::Go { step: at } => {
                let is_valid = self.held == Some(*at);
                if is_valid {
                    self.held = None;
                }
                is_valid
            }
        };
        self.sequence += u64::from(is_valid);
        is_valid
    }
}

impl World {
    fn new(seed: u64, guards: Guards) -> Self {
        let agent = |rank: usize| Agent {
            tracker: RankTracker::default(),
            lead: Lead::new(rank as u16, RANKS as u16, 0),
            reports: Reports::new(),
            proposed_at: Duration::ZERO,
            down_ticks: 0,
            silent_until: Duration::ZERO,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            shifts: StdRng::seed_from_u64(seed ^ 0x5EED),
            guards,
            now: Duration::ZERO,
            epoch: 0,
            step: 0,
            replicas: vec![Replica::new(); RANKS],
            agents: (0..RANKS).map(agent).collect(),
            datagrams: Vec::new(),
            fault_rate: 0.0,
            idle_until: Duration::ZERO,
            held_since: None,
            switches: 0,
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn status(&self, rank: usize) -> RankStatus {
        let replica = &self.replicas[rank];
        RankStatus {
            group: "g".into(),
            epoch: self.epoch,
            rank: rank as u16,
            size: RANKS as u16,
            open: true,
            busy: replica.copying.is_some(),
            sequence: replica.sequence,
            running: 4,
            waiting: 0,
            started_ms: self.epoch + 1,
            slowdown: 1.0,
            step: self.step,
            version: replica.version,
            copying: None,
            prepared: replica.prepared,
            armed: replica.armed,
            held: replica.held,
        }
    }

    fn run(mut self) -> Result<u64, String> {
        for tick in 0..TICKS {
            self.now += TICK;
            self.fault_rate = if tick + FAULT_FREE_TICKS < TICKS { 0.3 } else { 0.0 };
            self.inject_faults();
            self.apply_late_orders();
            self.begin_pass()?;
            self.deliver();
            for rank in 0..RANKS {
                self.run_agent(rank);
            }
            self.check_held()?;
        }
        Ok(self.switches)
    }

    fn inject_faults(&mut self) {
        if self.fault_rate == 0.0 {
            return;
        }
        if self.chance(0.01) {
            let rank = self.rng.random_range(0..RANKS);
            let down_ticks = self.rng.random_range(1..40);
            self.agents[rank].down_ticks = down_ticks;
            self.agents[rank].tracker = RankTracker::default();
            self.agents[rank].reports.clear();
            let epoch = self.epoch;
            self.agents[rank].lead = Lead::new(rank as u16, RANKS as u16, epoch);
        }
        if self.chance(0.01) {
            let rank = self.rng.random_range(0..RANKS);
            self.agents[rank].silent_until = self.now + TICK * self.rng.random_range(10..80);
        }
        if self.chance(0.01) {
            self.idle_until = self.now + TICK * self.rng.random_range(50..400);
        }
        if self.chance(0.002) {
            // A rank crashes and restarts, so the group forms again.
            self.epoch += 1;
            self.step = 0;
            self.replicas = vec![Replica::new(); RANKS];
        }
    }

    fn apply_late_orders(&mut self) {
        let (now, step, expected) = (self.now, self.step, self.guards.sequence_check);
        let epoch = self.epoch;
        for replica in &mut self.replicas {
            let due: Vec<_> = replica.late_orders.extract_if(.., |l| l.0 <= now).collect();
            for (_, order, of, count) in due {
                if of == epoch && (!expected || count == replica.sequence) {
                    replica.apply(&order, step, now);
                }
            }
            if let Some((version, at)) = replica.copying
                && at <= now
            {
                (replica.prepared, replica.copying) = (Some(version), None);
            }
        }
    }

    /// Begins a pass on all ranks together, unless one of them holds it back.
    fn begin_pass(&mut self) -> Result<(), String> {
        if self.rng.random_range(0..3) != 0 || self.now < self.idle_until {
            return Ok(());
        }
        let next = self.step + 1;
        if self.replicas.iter().any(|r| r.held == Some(next)) {
            return Ok(());
        }
        self.step = next;
        let before = self.replicas[0].version;
        for replica in &mut self.replicas {
            if let Some(armed) = replica.armed.filter(|a| a.step == Some(next)) {
                replica.version = armed.version;
                (replica.armed, replica.prepared) = (None, None);
            }
        }
        let versions: Vec<u64> = self.replicas.iter().map(|r| r.version).collect();
        if versions.iter().any(|v| *v != versions[0]) {
            return Err(format!("pass {next} begins with the maps {versions:?} at {:?}", self.now));
        }
        self.switches += u64::from(versions[0] != before);
        Ok(())
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.datagrams.extract_if(.., |m| m.0 <= now).collect();
        for (_, to, datagrams) in due {
            if self.agents[to].down_ticks > 0 || self.agents[to].silent_until > now {
                continue;
            }
            match datagrams {
                Datagram::Report(report) if report.status.epoch == self.epoch => {
                    self.agents[to].reports.insert(report.status.rank, (*report, now));
                }
                Datagram::Report(_) => {}
                Datagram::Command(lead_command) => self.execute(to, &lead_command),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, datagrams: Datagram) {
        let probability = self.fault_rate;
        if self.agents[from].silent_until > self.now || self.chance(probability / 3.0) {
            return;
        }
        let copies = if self.chance(probability / 6.0) { 2 } else { 1 };
        for _ in 0..copies {
            let delayed = self.chance(probability / 10.0);
            let delay = if delayed { self.rng.random_range(50..1500) } else { 1 };
            self.datagrams.push((self.now + Duration::from_millis(delay), to, datagrams.clone()));
        }
    }

    fn run_agent(&mut self, rank: usize) {
        if self.agents[rank].down_ticks > 0 {
            self.agents[rank].down_ticks -= 1;
            return;
        }
        let (now, status) = (self.now, self.status(rank));
        let agent = &mut self.agents[rank];
        agent.tracker.update(status.clone(), now);
        if agent.lead.epoch() != status.epoch {
            agent.lead = Lead::new(rank as u16, RANKS as u16, status.epoch);
            agent.reports.clear();
        }
        self.send_report(rank);
        let agent = &mut self.agents[rank];
        let lower = agent.reports.iter().any(|(r, (_, at))| {
            usize::from(*r) < rank && now.saturating_sub(*at) < Duration::from_millis(700)
        });
        if lower {
            agent.lead.stop("a lower rank is heard of", now);
        } else if *agent.lead.phase() == Phase::Following {
            let seen = agent.reports.values().map(|(r, _)| r.term).max().unwrap_or_default();
            agent.lead.begin(seen.max(agent.tracker.term), now);
        }
        if *agent.lead.phase() == Phase::Idle && now > agent.proposed_at + Duration::from_secs(1) {
            agent.proposed_at = now;
            let versions = agent
                .reports
                .values()
                .map(|(r, _)| r.status.version.max(r.status.prepared.unwrap_or_default()));
            let seen = versions.max().unwrap_or_default();
            agent.lead.propose(seen, Arc::default(), MapSizes::default(), now);
        }
        // Demand shifts while a map is being prepared.
        if self.shifts.random_bool(0.01) {
            self.agents[rank].lead.abandon("demand has shifted", now);
        }
        let commands = self.lead_commands(rank);
        let (term, epoch) = (self.agents[rank].lead.term(), self.agents[rank].lead.epoch());
        for (to, command) in commands {
            let lead_command = Box::new(LeadCommand { term, epoch, command });
            if usize::from(to) == rank {
                self.execute(rank, &lead_command);
            } else {
                self.send(rank, usize::from(to), Datagram::Command(lead_command));
            }
        }
    }

    fn lead_commands(&mut self, rank: usize) -> Vec<(u16, Command)> {
        let uncertain_wait = self.guards.uncertain_wait;
        let now = self.now;
        let agent = &mut self.agents[rank];
        let mut reports = agent.reports.clone();
        if !uncertain_wait {
            reports.values_mut().for_each(|(r, _)| r.order_uncertain = false);
        }
        agent.lead.advance(&reports, 60.0, now)
    }

    fn send_report(&mut self, rank: usize) {
        let status = self.status(rank);
        let now = self.now;
        let agent = &mut self.agents[rank];
        let report = AgentReport {
            status,
            replica: "127.0.0.1:1".parse().unwrap(),
            term: agent.tracker.term,
            order_uncertain: agent.tracker.has_uncertain_order(),
            experts: (0, Vec::new()),
            expert_counts: CountSample::default(),
            wants_map: false,
        };
        agent.reports.insert(rank as u16, (report.clone(), now));
        for to in (0..RANKS).filter(|r| *r != rank) {
            self.send(rank, to, Datagram::Report(Box::new(report.clone())));
        }
    }

    fn execute(&mut self, rank: usize, lead_command: &LeadCommand) {
        let (now, status) = (self.now, self.status(rank));
        self.agents[rank].tracker.update(status, now);
        match self.agents[rank].tracker.accept(lead_command) {
            Action::Nothing => return,
            Action::Order(order) => self.send_order(rank, &order),
            Action::AdvanceSequence => {
                let step = self.step + UNREACHABLE_STEPS;
                self.send_order(rank, &Order::Hold { step });
                let status = self.status(rank);
                let held = status.held == Some(step);
                self.agents[rank].tracker.update(status, now);
                if held {
                    self.send_order(rank, &Order::Go { step });
                }
            }
        }
        let status = self.status(rank);
        self.agents[rank].tracker.update(status, now);
        self.send_report(rank);
    }

    /// Sends an order in up to three attempts, each of which may be lost or take effect late.
    fn send_order(&mut self, rank: usize, order: &Order) {
        let (now, step, epoch) = (self.now, self.step, self.epoch);
        let Some(status) = self.agents[rank].tracker.status.clone() else { return };
        for _ in 0..3 {
            if status.epoch != epoch {
                return;
            }
            let probability = self.fault_rate;
            let lost = self.chance(probability);
            let due = lost && self.chance(0.7);
            if due {
                let after = Duration::from_millis(self.rng.random_range(2000..12_000));
                let late_order = (now + after, order.clone(), epoch, status.sequence);
                self.replicas[rank].late_orders.push(late_order);
            } else if !self.guards.sequence_check || self.replicas[rank].sequence == status.sequence
            {
                self.replicas[rank].apply(order, step, now);
            }
            if !lost {
                return;
            }
            self.agents[rank].tracker.mark_lost(status.sequence, now);
        }
    }

    /// Checks that no group stays held once nothing is lost any more.
    fn check_held(&mut self) -> Result<(), String> {
        let near = self.step + UNREACHABLE_STEPS / 2;
        let held = self.replicas.iter().any(|r| r.held.is_some_and(|h| h <= near));
        let stopped = held && self.replicas.iter().any(|r| r.held == Some(self.step + 1));
        if !stopped || self.fault_rate > 0.0 {
            self.held_since = None;
            return Ok(());
        }
        let since = *self.held_since.get_or_insert(self.now);
        if self.now > since + HOLD_MAX {
            return Err(format!("held since {since:?} without faults, at {:?}", self.now));
        }
        Ok(())
    }
}

proptest! {
    #[test]
    fn agreement_random_faults(seed in any::<u64>()) {
        let run = World::new(seed, ALL_GUARDS).run();
        prop_assert!(run.is_ok(), "seed {seed}: {}", run.unwrap_err());
    }
}

/// A report from before an arm order arrives late and is taken for the rank's present state.
#[test]
fn agreement_late_state() {
    World::new(6_277_443_934_741_919_922, ALL_GUARDS).run().unwrap();
}

#[test]
fn agreement_calm_switches() {
    let switched: u64 = (0..20).map(|seed| World::new(seed, ALL_GUARDS).run().unwrap()).sum();
    // The part without faults lasts 18 s of each run, with one proposal a second.
    assert!(switched >= 20 * 4, "{switched} switches in 20 runs");
}

/// Without either safeguard the seed's run breaks the invariant that all ranks use one map.
#[rstest]
#[case::sequence_check(Guards { sequence_check: false, ..ALL_GUARDS }, 15_326)]
#[case::sequence_check_again(Guards { sequence_check: false, ..ALL_GUARDS }, 64_054)]
#[case::uncertain_wait(Guards { uncertain_wait: false, ..ALL_GUARDS }, 15_326)]
fn agreement_without_guard_caught(#[case] guards: Guards, #[case] seed: u64) {
    World::new(seed, ALL_GUARDS).run().unwrap();
    let broken = World::new(seed, guards).run().unwrap_err();
    assert!(broken.contains("begins with the maps"), "{broken}");
}
