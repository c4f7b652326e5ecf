//! Randomized simulations of membership over a network that loses, delays and repeats datagrams.

use crate::base::name::{Incarnation, Name};
use crate::fleet::Version;
use crate::membership::constants::HEARTBEAT_INTERVAL;
use crate::membership::{
    Candidate, DocumentStatus, Heartbeat, LoadReport, Members, Outgoing, Process, ProcessRole, Row,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Processes in each of the two zones, of which the first [`ZONE_ENTRIES`] are entries.
const ZONE_SIZE: usize = 5;
const ZONE_ENTRIES: usize = 2;
const PROCESSES: usize = 2 * ZONE_SIZE;

/// Ticks without faults after which [`Simulation::settle`] expects a complete view.
const SETTLE_TICKS: usize = 150;

/// A step of a simulation.
#[derive(Clone, Debug)]
enum Event {
    /// Time passes.
    Advance { ticks: usize },
    /// A process crashes.
    Kill { at: usize },
    /// A process is replaced; the old run is paused and may resume later.
    Replace { at: usize },
    /// The paused runs send one round of heartbeats.
    ResumeOld,
    /// Sets the share of datagrams that are lost, delayed or repeated.
    Faults { percent: u8 },
    /// Sets whether the zones are partitioned.
    Partition { on: bool },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1..6usize).prop_map(|ticks| Event::Advance { ticks }),
        1 => (0..PROCESSES).prop_map(|at| Event::Kill { at }),
        2 => (0..PROCESSES).prop_map(|at| Event::Replace { at }),
        2 => Just(Event::ResumeOld),
        1 => (0..60u8).prop_map(|percent| Event::Faults { percent }),
        1 => any::<bool>().prop_map(|on| Event::Partition { on }),
    ]
}

struct InFlight {
    due: Duration,
    from: SocketAddr,
    to: SocketAddr,
    heartbeat: Heartbeat,
}

struct Simulation {
    running: Vec<Option<Members>>,
    incarnations: [u64; PROCESSES],
    old_runs: Vec<Members>,
    in_flight: Vec<InFlight>,
    /// Latest incarnation of each process known to each run.
    known: HashMap<(usize, Name), Incarnation>,
    now: Duration,
    rng: StdRng,
    fault_percent: u8,
    is_partitioned: bool,
    unguarded: bool,
}

fn name(at: usize) -> Name {
    Name::from(format!("process-{at}"))
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + at as u16))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1000
}

fn zone(at: usize) -> usize {
    at / ZONE_SIZE
}

fn role(at: usize) -> ProcessRole {
    if at % ZONE_SIZE < ZONE_ENTRIES { ProcessRole::Entry } else { ProcessRole::Agent }
}

impl Simulation {
    fn new(seed: u64, unguarded: bool) -> Self {
        let mut simulation = Self {
            running: Vec::new(),
            incarnations: [1; PROCESSES],
            old_runs: Vec::new(),
            in_flight: Vec::new(),
            known: HashMap::new(),
            now: Duration::from_secs(1),
            rng: StdRng::seed_from_u64(seed),
            fault_percent: 0,
            is_partitioned: false,
            unguarded,
        };
        simulation.running = (0..PROCESSES).map(|at| Some(simulation.start(at))).collect();
        simulation
    }

    fn start(&self, at: usize) -> Members {
        let process = Process {
            name: name(at),
            zone: Name::from(format!("zone-{}", zone(at))),
            role: role(at),
            address: address(at),
            incarnation: Incarnation(self.incarnations[at]),
        };
        let mut members = Members::new(process, self.now);
        members.unguarded = self.unguarded;
        let all = (0..PROCESSES).map(|other| Candidate {
            address: address(other),
            zone: Some(Name::from(format!("zone-{}", zone(other)))),
        });
        members.set_candidates(all.collect());
        members
    }

    fn step(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match *event {
            Event::Advance { ticks } => (0..ticks).try_for_each(|_| self.tick())?,
            Event::Kill { at } => self.running[at] = None,
            Event::Replace { at } => {
                self.incarnations[at] += 1;
                let new_run = self.start(at);
                self.old_runs.extend(self.running[at].replace(new_run));
                self.known.retain(|(run, _), _| *run != at);
            }
            Event::ResumeOld => {
                let mut old = std::mem::take(&mut self.old_runs);
                for members in &mut old {
                    let ticked = members.tick(self.now, DocumentStatus::default(), &mut self.rng);
                    let from = members.local.address;
                    self.send(from, ticked.outgoing);
                }
                self.old_runs = old;
            }
            Event::Faults { percent } => self.fault_percent = percent,
            Event::Partition { on } => self.is_partitioned = on,
        }
        Ok(())
    }

    fn send(&mut self, from: SocketAddr, outgoing: Vec<Outgoing>) {
        for Outgoing { to, heartbeat } in outgoing {
            let is_faulty = |rng: &mut StdRng, percent| rng.random_range(0..100u8) < percent;
            if is_faulty(&mut self.rng, self.fault_percent) {
                continue;
            }
            let is_delayed = is_faulty(&mut self.rng, self.fault_percent);
            let delay = if is_delayed { self.rng.random_range(1..3000) } else { 1 };
            let due = self.now + Duration::from_millis(delay);
            if is_faulty(&mut self.rng, self.fault_percent) {
                let due = due + Duration::from_millis(500);
                self.in_flight.push(InFlight { due, from, to, heartbeat: heartbeat.clone() });
            }
            self.in_flight.push(InFlight { due, from, to, heartbeat });
        }
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        for at in 0..PROCESSES {
            let Some(members) = &mut self.running[at] else { continue };
            let ticked = members.tick(self.now, DocumentStatus::default(), &mut self.rng);
            self.send(address(at), ticked.outgoing);
        }
        let until = self.now + HEARTBEAT_INTERVAL;
        while let Some(next) = (0..self.in_flight.len()).min_by_key(|i| self.in_flight[*i].due) {
            if self.in_flight[next].due > until {
                break;
            }
            let InFlight { due, from, to, heartbeat } = self.in_flight.swap_remove(next);
            self.now = self.now.max(due);
            self.deliver(from, to, heartbeat)?;
        }
        self.now = until;
        Ok(())
    }

    fn deliver(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Result<(), TestCaseError> {
        let at = index_of(to);
        if self.is_partitioned && zone(index_of(from)) != zone(at) {
            return Ok(());
        }
        let Some(members) = &mut self.running[at] else { return Ok(()) };
        let result = members.receive(self.now, from, heartbeat, DocumentStatus::default());
        for peer in members.peers.values() {
            let process = &peer.process;
            let known = self.known.entry((at, process.name.clone())).or_insert(process.incarnation);
            prop_assert!(
                process.incarnation >= *known,
                "{} reverted to incarnation {}",
                process.name,
                process.incarnation
            );
            *known = process.incarnation;
        }
        self.send(to, result.replies);
        Ok(())
    }

    /// Ends all faults and checks that each running entry knows exactly the running processes, and
    /// each agent at least one entry if any is running.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        (self.fault_percent, self.is_partitioned) = (0, false);
        (0..SETTLE_TICKS).try_for_each(|_| self.tick())?;
        let entries = (0..PROCESSES).filter(|at| role(*at) == ProcessRole::Entry);
        let alive = entries.filter(|at| self.running[*at].is_some()).count();
        for at in 0..PROCESSES {
            let Some(members) = &self.running[at] else { continue };
            let known = |other: &usize| {
                let peer = members.peers.get(&name(*other))?;
                let live = peer.liveness == crate::membership::Liveness::Live;
                live.then_some(peer.process.incarnation.0)
            };
            if members.local.role == ProcessRole::Agent {
                let any =
                    (0..PROCESSES).any(|o| role(o) == ProcessRole::Entry && known(&o).is_some());
                prop_assert!(any || alive == 0, "agent {at} knows no entry");
                continue;
            }
            for other in (0..PROCESSES).filter(|o| *o != at) {
                let expected = self.running[other].as_ref().map(|m| m.local.incarnation.0);
                prop_assert_eq!(known(&other), expected, "{} of {}", at, other);
            }
        }
        Ok(())
    }
}

fn run(seed: u64, events: &[Event], unguarded: bool) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(seed, unguarded);
    for event in events {
        simulation.step(event)?;
    }
    simulation.settle()
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    proptest::collection::vec(event(), 1..40)
}

proptest! {
    #![proptest_config(Config { cases: Config::default().cases.div_ceil(CASE_DIVISOR), ..Config::default() })]
    #[test]
    fn members_random_runs(seed in any::<u64>(), events in events()) {
        run(seed, &events, false)?;
    }
}

/// Divides the case count, since one simulation costs about as much as 16 cases of other tests.
const CASE_DIVISOR: u32 = 16;

/// Without the incarnation check an old run replaces a later one; this seed detects it.
#[test]
fn members_unguarded_caught() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config { failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let found = runner.run(&(any::<u64>(), events()), |(seed, events)| run(seed, &events, true));
    assert!(found.unwrap_err().to_string().contains("reverted to incarnation"));
}

#[test]
fn members_report_reaches_zone() {
    let mut simulation = Simulation::new(1, false);
    (0..20).for_each(|_| simulation.tick().unwrap());
    let report = LoadReport { sequence: 9, running: 4, ..LoadReport::default() };
    let agent = ZONE_ENTRIES;
    simulation.running[agent].as_mut().unwrap().set_report(report.clone());
    (0..2).for_each(|_| simulation.tick().unwrap());
    for entry in 0..ZONE_ENTRIES {
        let members = simulation.running[entry].as_ref().unwrap();
        let peer = &members.peers[&name(agent)];
        let found = peer.update.load.map(|l| l.report_with(&peer.loaded));
        assert_eq!(found, Some(report.clone()));
    }
}

#[test]
fn members_watchers_bounded() {
    let mut simulation = Simulation::new(1, false);
    (0..20).for_each(|_| simulation.tick().unwrap());
    let now = simulation.now;
    let watchers = simulation.running.iter().flatten().filter(|m| m.is_watcher(now)).count();
    assert_eq!(watchers, 2 * ZONE_ENTRIES);
}

/// A single late heartbeat must not make a silent process live again.
#[test]
fn members_hysteresis() {
    let mut simulation = Simulation::new(1, false);
    (0..20).for_each(|_| simulation.tick().unwrap());
    let agent = ZONE_ENTRIES;
    let mut silent = simulation.running[agent].take().unwrap();
    (0..20).for_each(|_| simulation.tick().unwrap());
    let live = |simulation: &Simulation| {
        let entry = simulation.running[0].as_ref().unwrap();
        entry.peers[&name(agent)].liveness == crate::membership::Liveness::Live
    };
    assert!(!live(&simulation));
    let to = address(0);
    let mut send_heartbeat = |simulation: &mut Simulation| {
        silent.tick(simulation.now, DocumentStatus::default(), &mut StdRng::seed_from_u64(1));
        let (sender, version) = (silent.own_row(false), None::<Version>);
        let heartbeat =
            Heartbeat { sender, version, age: 0, is_reply: false, rows: Vec::<Row>::new() };
        simulation.deliver(address(agent), to, heartbeat).unwrap();
        simulation.tick().unwrap();
    };
    send_heartbeat(&mut simulation);
    assert!(!live(&simulation));
    send_heartbeat(&mut simulation);
    assert!(live(&simulation));
}

/// A delayed update of an earlier run must not raise the sequence number of the current run.
#[test]
fn members_late_update_ignored() {
    let mut simulation = Simulation::new(1, false);
    (0..20).for_each(|_| simulation.tick().unwrap());
    let late = simulation.running[1].as_ref().unwrap().own_row(false);
    simulation.step(&Event::Replace { at: 1 }).unwrap();
    let new_run = simulation.running[1].as_ref().unwrap().own_row(true);
    for sender in [new_run, late] {
        let heartbeat =
            Heartbeat { sender, version: None, age: 0, is_reply: false, rows: Vec::new() };
        simulation.deliver(address(1), address(0), heartbeat).unwrap();
    }
    let entry = simulation.running[0].as_ref().unwrap();
    assert_eq!(entry.peers[&name(1)].update.sequence, 0);
}
