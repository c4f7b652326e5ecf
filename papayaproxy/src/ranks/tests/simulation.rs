//! Simulation of the agents of one group and of their replicas, with lost and late orders, lost, late and
//! duplicated datagrams, killed and disconnected agents, two leads at once, and crashing ranks.

use crate::ranks::constants::LOST_ORDER_COOLDOWN;
use crate::ranks::lead::{Lead, MapSizes, Phase, Reports};
use crate::ranks::message::{
    AgentReport, ArmedMap, Command, CountSample, ExpertLists, LeadCommand, RankStatus,
};
use crate::ranks::rank::{Order, RankTracker};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
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
pub(super) struct Guards {
    /// The lead waits until no unanswered order can arm a rank any more.
    pub(super) uncertain_wait: bool,
}

pub(super) const ALL_GUARDS: Guards = Guards { uncertain_wait: true };

/// Which orders advance a replica's sequence.
#[derive(Clone, Copy)]
pub(super) enum Counted {
    All,
    None,
}

/// A map's version and content.
type VersionedMap = (u64, Arc<ExpertLists>);

/// A replica that behaves as its published interface specifies.
#[derive(Clone, Debug)]
struct Replica {
    sequence: u64,
    map: VersionedMap,
    highest: u64,
    prepared: Option<VersionedMap>,
    copying: Option<(VersionedMap, Duration)>,
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

pub(super) struct World {
    rng: StdRng,
    /// Decides when demand shifts, so that a seed's faults do not depend on it.
    shifts: StdRng,
    guards: Guards,
    counted: Counted,
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
    /// Maps planned so far; each has a content of its own.
    plans: u16,
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
            map: (0, Arc::default()),
            highest: 0,
            prepared: None,
            copying: None,
            armed: None,
            held: None,
            late_orders: Vec::new(),
        }
    }

    /// Applies an order as the published interface specifies; `true` if it was accepted.
    fn apply(&mut self, order: &Order, step: u64, now: Duration, counted: Counted) -> bool {
        let is_valid = match order {
            Order::Prepare { version, map } => {
                let is_idle = self.armed.is_none() && self.copying.is_none();
                let is_valid = *version > self.highest && is_idle;
                if is_valid {
                    self.highest = *version;
                    let copy_time = Duration::from_millis(if *map == self.map.1 { 0 } else { 300 });
                    self.copying = Some(((*version, map.clone()), now + copy_time));
                }
                is_valid
            }
            Order::Arm { version, step: at } => {
                let is_prepared = self.prepared.as_ref().is_some_and(|(of, _)| of == version);
                let is_valid = is_prepared && *at > step && self.armed.is_none();
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
        self.sequence += u64::from(is_valid && matches!(counted, Counted::All));
        is_valid
    }
}

impl World {
    pub(super) fn new(seed: u64, guards: Guards, counted: Counted) -> Self {
        let agent = |rank: usize| Agent {
            tracker: RankTracker::default(),
            lead: Lead::new(rank as u16, RANKS as u16, 0, rank as u32),
            reports: Reports::new(),
            proposed_at: Duration::ZERO,
            down_ticks: 0,
            silent_until: Duration::ZERO,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            shifts: StdRng::seed_from_u64(seed ^ 0x5EED),
            guards,
            counted,
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
            plans: 0,
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
            version: replica.map.0,
            copying: None,
            prepared: replica.prepared.as_ref().map(|(version, _)| *version),
            armed: replica.armed,
            held: replica.held,
        }
    }

    pub(super) fn run(mut self) -> Result<u64, String> {
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
            self.restart_agent(rank);
        }
        if self.chance(0.003) {
            (0..RANKS).for_each(|rank| self.restart_agent(rank));
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

    /// The agent forgets all, above all the terms and versions that it has given out.
    fn restart_agent(&mut self, rank: usize) {
        let (down_ticks, identity) = (self.rng.random_range(1..40), self.rng.random());
        let agent = &mut self.agents[rank];
        agent.down_ticks = down_ticks;
        agent.tracker = RankTracker::default();
        agent.reports.clear();
        agent.lead = Lead::new(rank as u16, RANKS as u16, self.epoch, identity);
    }

    fn apply_late_orders(&mut self) {
        let (now, step) = (self.now, self.step);
        let (epoch, counted) = (self.epoch, self.counted);
        for replica in &mut self.replicas {
            let due: Vec<_> = replica.late_orders.extract_if(.., |l| l.0 <= now).collect();
            for (_, order, of, count) in due {
                if of == epoch && count == replica.sequence {
                    replica.apply(&order, step, now, counted);
                }
            }
            if let Some((map, _)) = replica.copying.take_if(|(_, at)| *at <= now) {
                replica.prepared = Some(map);
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
        let before = self.replicas[0].map.0;
        for replica in &mut self.replicas {
            if replica.armed.take_if(|a| a.step == Some(next)).is_some()
                && let Some(map) = replica.prepared.take()
            {
                replica.map = map;
            }
        }
        let maps: Vec<&VersionedMap> = self.replicas.iter().map(|r| &r.map).collect();
        if maps.iter().any(|map| *map != maps[0]) {
            return Err(format!("pass {next} begins with the maps {maps:?} at {:?}", self.now));
        }
        self.switches += u64::from(maps[0].0 != before);
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
            agent.lead = Lead::new(rank as u16, RANKS as u16, status.epoch, rank as u32);
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
        // Plans rest after a lost order, so that a late one may still fit.
        let quiet = agent.tracker.lost_at.is_some_and(|at| now < at + LOST_ORDER_COOLDOWN);
        let is_due = now > agent.proposed_at + Duration::from_secs(1) && !quiet;
        if *agent.lead.phase() == Phase::Idle && is_due {
            agent.proposed_at = now;
            let seen = agent.reports.values().map(|(r, _)| r.status.last_version()).max();
            let seen = seen.unwrap_or_default();
            self.plans += 1;
            let map = Arc::new(vec![vec![vec![self.plans]]]);
            agent.lead.propose(seen, map, MapSizes::default(), now);
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
        let mut lead_command = lead_command.clone();
        if let Command::Supersede { version } = lead_command.command {
            let map = self.replicas[rank].map.1.clone();
            lead_command.command = Command::Prepare { version, map };
        }
        let Some(order) = self.agents[rank].tracker.accept(&lead_command) else { return };
        self.send_order(rank, &order);
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
            } else if self.replicas[rank].sequence == status.sequence {
                self.replicas[rank].apply(order, step, now, self.counted);
            }
            if !lost {
                return;
            }
            self.agents[rank].tracker.mark_lost(status.sequence, now);
        }
    }

    /// Checks that no group stays held once nothing is lost any more.
    fn check_held(&mut self) -> Result<(), String> {
        let stopped = self.replicas.iter().any(|r| r.held == Some(self.step + 1));
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
