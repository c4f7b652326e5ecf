//! Randomised runs of the agreement: orders lost and carried out late, datagrams lost, late and
//! twice, agents killed and cut off, leads two at once, ranks that crash.
//!
//! The long run: `PROPTEST_CASES=20000 cargo test --release -p papayaproxy --lib ranks::tests`.

use crate::ranks::constants::FAR_STEPS;
use crate::ranks::lead::{Lead, Phase, States};
use crate::ranks::message::{ArmedMap, Command, Directed, RankStatus, State};
use crate::ranks::rank::{Memory, Need, Order};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::Duration;

const RANKS: usize = 3;
/// Ticks of one run, of 20 ms each.
const TICKS: u64 = 1500;
const TICK: Duration = Duration::from_millis(20);
/// Ticks at the end of a run without trouble.
const CALM_TICKS: u64 = 900;
/// Longest time, with all agents up and nothing lost, for which a group may be held.
const HELD_MOST: Duration = Duration::from_secs(5);

/// Guards that a run may go without, to show that it notices.
#[derive(Clone, Copy)]
struct Guards {
    /// Replicas refuse orders with another count than the expected one.
    expected: bool,
    /// The lead waits until no order can be carried out late.
    doubt: bool,
}

const ALL: Guards = Guards { expected: true, doubt: true };

/// A replica as the published interface has it.
#[derive(Clone, Debug)]
struct Replica {
    sequence: u64,
    version: u64,
    highest: u64,
    prepared: Option<u64>,
    copying: Option<(u64, Duration)>,
    armed: Option<ArmedMap>,
    held: Option<u64>,
    late: Vec<(Duration, Order, u64, u64)>,
}

struct Agent {
    memory: Memory,
    lead: Lead,
    states: States,
    proposed: Duration,
    down: u64,
    silent: Duration,
}

struct World {
    rng: StdRng,
    guards: Guards,
    now: Duration,
    epoch: u64,
    step: u64,
    replicas: Vec<Replica>,
    agents: Vec<Agent>,
    mail: Vec<(Duration, usize, Mail)>,
    trouble: f64,
    /// Until when nothing is to do, so that no passes run.
    idle: Duration,
    held_since: Option<Duration>,
    switches: u64,
}

#[derive(Clone, Debug)]
enum Mail {
    State(Box<State>),
    Do(Box<Directed>),
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
            late: Vec::new(),
        }
    }

    /// Carries an order out as the page says; `true` if it has begun something.
    fn carry_out(&mut self, order: &Order, step: u64, now: Duration) -> bool {
        let begun = match order {
            Order::Prepare { version, .. } => {
                let fits = *version > self.highest && self.armed.is_none();
                if fits {
                    self.highest = *version;
                    self.copying = Some((*version, now + Duration::from_millis(300)));
                }
                fits
            }
            Order::Arm { version, step: at } => {
                let fits = self.prepared == Some(*version) && *at > step && self.armed.is_none();
                if fits {
                    self.armed = Some(ArmedMap { version: *version, step: Some(*at) });
                }
                fits
            }
            Order::Disarm { version } => {
                let fits = self.armed.is_some_and(|a| a.version == *version);
                if fits {
                    self.armed = None;
                }
                fits
            }
            Order::Hold { step: at } => {
                let fits = self.held.is_none() && *at > step;
                if fits {
                    self.held = Some(*at);
                }
                fits
            }
            Order::Go { step: at } => {
                let fits = self.held == Some(*at);
                if fits {
                    self.held = None;
                }
                fits
            }
        };
        self.sequence += u64::from(begun);
        begun
    }
}

impl World {
    fn new(seed: u64, guards: Guards) -> Self {
        let agent = |rank: usize| Agent {
            memory: Memory::default(),
            lead: Lead::new(rank as u16, RANKS as u16, 0),
            states: States::new(),
            proposed: Duration::ZERO,
            down: 0,
            silent: Duration::ZERO,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            guards,
            now: Duration::ZERO,
            epoch: 0,
            step: 0,
            replicas: vec![Replica::new(); RANKS],
            agents: (0..RANKS).map(agent).collect(),
            mail: Vec::new(),
            trouble: 0.0,
            idle: Duration::ZERO,
            held_since: None,
            switches: 0,
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    fn view(&self, rank: usize) -> RankStatus {
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
            prepared: replica.prepared,
            armed: replica.armed,
            held: replica.held,
        }
    }

    fn run(mut self) -> Result<u64, String> {
        for tick in 0..TICKS {
            self.now += TICK;
            self.trouble = if tick + CALM_TICKS < TICKS { 0.3 } else { 0.0 };
            self.disturb();
            self.carry_late();
            self.begin_pass()?;
            self.deliver();
            for rank in 0..RANKS {
                self.act(rank);
            }
            self.check_held()?;
        }
        Ok(self.switches)
    }

    fn disturb(&mut self) {
        if self.trouble == 0.0 {
            return;
        }
        if self.chance(0.01) {
            let rank = self.rng.random_range(0..RANKS);
            let down = self.rng.random_range(1..40);
            self.agents[rank].down = down;
            self.agents[rank].memory = Memory::default();
            self.agents[rank].states.clear();
            let epoch = self.epoch;
            self.agents[rank].lead = Lead::new(rank as u16, RANKS as u16, epoch);
        }
        if self.chance(0.01) {
            let rank = self.rng.random_range(0..RANKS);
            self.agents[rank].silent = self.now + TICK * self.rng.random_range(10..80);
        }
        if self.chance(0.01) {
            self.idle = self.now + TICK * self.rng.random_range(50..400);
        }
        if self.chance(0.002) {
            // A rank crashes and is back: the group forms anew.
            self.epoch += 1;
            self.step = 0;
            self.replicas = vec![Replica::new(); RANKS];
        }
    }

    fn carry_late(&mut self) {
        let (now, step, expected) = (self.now, self.step, self.guards.expected);
        let epoch = self.epoch;
        for replica in &mut self.replicas {
            let due: Vec<_> = replica.late.extract_if(.., |l| l.0 <= now).collect();
            for (_, order, of, count) in due {
                if of == epoch && (!expected || count == replica.sequence) {
                    replica.carry_out(&order, step, now);
                }
            }
            if let Some((version, at)) = replica.copying
                && at <= now
            {
                (replica.prepared, replica.copying) = (Some(version), None);
            }
        }
    }

    /// A pass begins on all ranks together, unless one holds it back.
    fn begin_pass(&mut self) -> Result<(), String> {
        if self.rng.random_range(0..3) != 0 || self.now < self.idle {
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
        let due: Vec<_> = self.mail.extract_if(.., |m| m.0 <= now).collect();
        for (_, to, mail) in due {
            if self.agents[to].down > 0 || self.agents[to].silent > now {
                continue;
            }
            match mail {
                Mail::State(state) if state.view.epoch == self.epoch => {
                    self.agents[to].states.insert(state.view.rank, (*state, now));
                }
                Mail::State(_) => {}
                Mail::Do(directed) => self.obey(to, &directed),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, mail: Mail) {
        let share = self.trouble;
        if self.agents[from].silent > self.now || self.chance(share / 3.0) {
            return;
        }
        let copies = if self.chance(share / 6.0) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = self.chance(share / 10.0);
            let delay = if slow { self.rng.random_range(50..1500) } else { 1 };
            self.mail.push((self.now + Duration::from_millis(delay), to, mail.clone()));
        }
    }

    fn act(&mut self, rank: usize) {
        if self.agents[rank].down > 0 {
            self.agents[rank].down -= 1;
            return;
        }
        let (now, view) = (self.now, self.view(rank));
        let agent = &mut self.agents[rank];
        agent.memory.learn(view.clone(), now);
        if agent.lead.epoch() != view.epoch {
            agent.lead = Lead::new(rank as u16, RANKS as u16, view.epoch);
            agent.states.clear();
        }
        self.tell(rank);
        let agent = &mut self.agents[rank];
        let lower = agent.states.iter().any(|(r, (_, at))| {
            usize::from(*r) < rank && now.saturating_sub(*at) < Duration::from_millis(700)
        });
        if lower {
            agent.lead.stop("a lower rank is heard of", now);
        } else if *agent.lead.phase() == Phase::Following {
            let seen = agent.states.values().map(|(s, _)| s.term).max().unwrap_or_default();
            agent.lead.begin(seen.max(agent.memory.term), now);
        }
        if *agent.lead.phase() == Phase::Idle && now > agent.proposed + Duration::from_secs(1) {
            agent.proposed = now;
            let versions = agent
                .states
                .values()
                .map(|(s, _)| s.view.version.max(s.view.prepared.unwrap_or_default()));
            let version = versions.max().unwrap_or_default() + 1;
            agent.lead.propose(version, Vec::new(), now);
        }
        let commands = self.lead(rank);
        let (term, epoch) = (self.agents[rank].lead.term(), self.agents[rank].lead.epoch());
        for (to, command) in commands {
            let directed = Box::new(Directed { term, epoch, command });
            if usize::from(to) == rank {
                self.obey(rank, &directed);
            } else {
                self.send(rank, usize::from(to), Mail::Do(directed));
            }
        }
    }

    fn lead(&mut self, rank: usize) -> Vec<(u16, Command)> {
        let doubt = self.guards.doubt;
        let now = self.now;
        let agent = &mut self.agents[rank];
        let mut states = agent.states.clone();
        if !doubt {
            states.values_mut().for_each(|(s, _)| s.doubt = false);
        }
        agent.lead.advance(&states, 60.0, now)
    }

    fn tell(&mut self, rank: usize) {
        let view = self.view(rank);
        let now = self.now;
        let agent = &mut self.agents[rank];
        let state = State {
            view,
            replica: "127.0.0.1:1".parse().unwrap(),
            term: agent.memory.term,
            doubt: agent.memory.doubt(),
            experts: (0, Vec::new()),
            chosen: Vec::new(),
        };
        agent.states.insert(rank as u16, (state.clone(), now));
        for to in (0..RANKS).filter(|r| *r != rank) {
            self.send(rank, to, Mail::State(Box::new(state.clone())));
        }
    }

    fn obey(&mut self, rank: usize, directed: &Directed) {
        let (now, view) = (self.now, self.view(rank));
        self.agents[rank].memory.learn(view, now);
        match self.agents[rank].memory.accept(directed) {
            Need::Nothing => return,
            Need::One(order) => self.order(rank, &order),
            Need::MoveOn => {
                let step = self.step + FAR_STEPS;
                self.order(rank, &Order::Hold { step });
                let view = self.view(rank);
                let held = view.held == Some(step);
                self.agents[rank].memory.learn(view, now);
                if held {
                    self.order(rank, &Order::Go { step });
                }
            }
        }
        let view = self.view(rank);
        self.agents[rank].memory.learn(view, now);
        self.tell(rank);
    }

    /// Gives an order in up to three tries, each of which may be lost, or carried out late.
    fn order(&mut self, rank: usize, order: &Order) {
        let (now, step, epoch) = (self.now, self.step, self.epoch);
        let Some(view) = self.agents[rank].memory.view.clone() else { return };
        for _ in 0..3 {
            if view.epoch != epoch {
                return;
            }
            let share = self.trouble;
            let lost = self.chance(share);
            let due = lost && self.chance(0.7);
            if due {
                let after = Duration::from_millis(self.rng.random_range(2000..12_000));
                let late = (now + after, order.clone(), epoch, view.sequence);
                self.replicas[rank].late.push(late);
            } else if !self.guards.expected || self.replicas[rank].sequence == view.sequence {
                self.replicas[rank].carry_out(order, step, now);
            }
            if !lost {
                return;
            }
            self.agents[rank].memory.unanswered(view.sequence, now);
        }
    }

    /// With nothing lost any more, no group stays held.
    fn check_held(&mut self) -> Result<(), String> {
        let near = self.step + FAR_STEPS / 2;
        let held = self.replicas.iter().any(|r| r.held.is_some_and(|h| h <= near));
        let stopped = held && self.replicas.iter().any(|r| r.held == Some(self.step + 1));
        if !stopped || self.trouble > 0.0 {
            self.held_since = None;
            return Ok(());
        }
        let since = *self.held_since.get_or_insert(self.now);
        if self.now > since + HELD_MOST {
            return Err(format!("held since {since:?} in calm, at {:?}", self.now));
        }
        Ok(())
    }
}

proptest! {
    #[test]
    fn agreement_random_troubles(seed in any::<u64>()) {
        let run = World::new(seed, ALL).run();
        prop_assert!(run.is_ok(), "seed {seed}: {}", run.unwrap_err());
    }
}

/// A state from before an arm came late, and passed for the rank's present one.
#[test]
fn agreement_late_state() {
    World::new(6_277_443_934_741_919_922, ALL).run().unwrap();
}

#[test]
fn agreement_calm_switches() {
    let switched: u64 = (0..20).map(|seed| World::new(seed, ALL).run().unwrap()).sum();
    // Calm alone lasts 18 s of each run, with a proposal a second.
    assert!(switched >= 20 * 4, "{switched} switches in 20 runs");
}

/// Each guard is needed: without it, the seed's run breaks the invariant.
#[rstest]
#[case::expected(Guards { expected: false, ..ALL }, 6192)]
#[case::expected_again(Guards { expected: false, ..ALL }, 19_917)]
#[case::doubt(Guards { doubt: false, ..ALL }, 571)]
fn agreement_without_guard_caught(#[case] guards: Guards, #[case] seed: u64) {
    World::new(seed, ALL).run().unwrap();
    let broken = World::new(seed, guards).run().unwrap_err();
    assert!(broken.contains("begins with the maps"), "{broken}");
}
