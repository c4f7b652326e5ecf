//! Membership: bytes and processor time of each process, by the number of processes in a fleet of
//! six zones. The cores run in virtual time; each beat is sealed, unsealed and counted as a datagram.

use super::line::Line;
use super::process::{child_kib, held_kib};
use indexmap::IndexMap;
use papayaproxy::membership::{
    Candidate, DocumentStatus, Heartbeat, LoadReport, Members, Outgoing, Process, ProcessRole,
};
use papayaproxy::wire::{Secret, Secrets, seal, unseal};
use papayaproxy::{Incarnation, Name};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Processes that are built for: 400 nodes and 600 agents.
const PROCESSES: usize = 1000;

/// Availability zones.
const ZONES: usize = 6;

/// Of ten processes, so many are entries.
const ENTRIES_OF_TEN: usize = 4;

/// Virtual time until everybody knows everybody.
const SETTLE: Duration = Duration::from_secs(20);

/// Virtual time that is measured.
const MEASURED: Duration = Duration::from_secs(20);

/// Bytes of IP and UDP headers around a datagram.
const HEADER_BYTES: usize = 28;

/// Time that a datagram takes.
const LATENCY: Duration = Duration::from_millis(1);

/// What membership costs one process.
#[derive(Clone, Copy, Debug)]
struct Cost {
    mean_bytes: f64,
    most_bytes: f64,
    core_percent: f64,
    kib: f64,
    known: f64,
}

/// Lines of membership.
pub(crate) fn measure() -> Vec<Line> {
    let sizes = [60, 120, 300, 1000];
    let costs: IndexMap<usize, Cost> = sizes.iter().map(|&n| (n, cost(n))).collect();
    let line = |what, value: fn(&Cost) -> f64| {
        Line::measure(what, "processes", &sizes, PROCESSES, |n| value(&costs[&n]))
    };
    vec![
        line("heartbeats, bytes a second sent, mean", |c| c.mean_bytes),
        line("heartbeats, bytes a second sent, most of any", |c| c.most_bytes),
        line("heartbeats, % of a core", |c| c.core_percent),
        line("heartbeats, KiB of memory", |c| c.kib),
        line("heartbeats, live upstreams known to an entry", |c| c.known),
    ]
}

/// A datagram on its way.
struct Flight {
    from: SocketAddr,
    to: SocketAddr,
    bytes: Vec<u8>,
}

struct Fleet {
    members: IndexMap<SocketAddr, Members>,
    secrets: Secrets,
    rng: SmallRng,
    /// Events by time: ticks of members and arrivals.
    ticks: BTreeMap<(Duration, usize), SocketAddr>,
    flights: BTreeMap<(Duration, usize), Flight>,
    serial: usize,
    sent: IndexMap<SocketAddr, usize>,
}

/// Memory of one member's state in a fleet of so many processes, in KiB.
pub(crate) fn held(processes: usize) -> f64 {
    let run = || {
        let mut fleet = Fleet::new(processes);
        fleet.run(SETTLE);
        fleet
    };
    held_kib(run) / processes as f64
}

fn cost(processes: usize) -> Cost {
    let mut fleet = Fleet::new(processes);
    fleet.run(SETTLE);
    fleet.sent.clear();
    let start = Instant::now();
    fleet.run(SETTLE + MEASURED);
    let spent = start.elapsed();
    let seconds = MEASURED.as_secs_f64();
    let total: usize = fleet.sent.values().sum();
    let most = fleet.sent.values().copied().max().unwrap_or(0);
    Cost {
        mean_bytes: total as f64 / seconds / processes as f64,
        most_bytes: most as f64 / seconds,
        core_percent: 100.0 * spent.as_secs_f64() / seconds / processes as f64,
        kib: child_kib("membership", processes),
        known: fleet.known(),
    }
}

impl Fleet {
    fn new(processes: usize) -> Self {
        let rows: Vec<Process> = (0..processes).map(process).collect();
        let candidates: Vec<Candidate> = rows
            .iter()
            .map(|p| Candidate { address: p.address, zone: Some(p.zone.clone()) })
            .collect();
        let mut fleet = Self {
            members: IndexMap::new(),
            secrets: Secrets { current: Secret::new(1, &[7; 32]), other: None },
            rng: SmallRng::seed_from_u64(1),
            ticks: BTreeMap::new(),
            flights: BTreeMap::new(),
            serial: 0,
            sent: IndexMap::new(),
        };
        for (number, row) in rows.into_iter().enumerate() {
            let address = row.address;
            let is_agent = row.role == ProcessRole::Agent;
            let mut members = Members::new(row, Duration::ZERO);
            members.set_candidates(candidates.clone());
            if is_agent {
                members.set_report(LoadReport { slots: 16, ..LoadReport::default() });
            }
            fleet.members.insert(address, members);
            let offset = Duration::from_micros(199 * number as u64 % 200_000);
            fleet.schedule(offset, address);
        }
        fleet
    }

    /// Runs until `until`.
    fn run(&mut self, until: Duration) {
        loop {
            let tick = self.ticks.first_key_value().map(|(k, _)| *k);
            let flight = self.flights.first_key_value().map(|(k, _)| *k);
            let next = [tick, flight].into_iter().flatten().min();
            let Some(key) = next.filter(|(at, _)| *at < until) else { return };
            if Some(key) == flight {
                self.arrive(key);
            } else {
                self.tick(key);
            }
        }
    }

    fn tick(&mut self, key: (Duration, usize)) {
        let Some(address) = self.ticks.remove(&key) else { return };
        let Some(member) = self.members.get_mut(&address) else { return };
        let ticked = member.tick(key.0, DocumentStatus::default(), &mut self.rng);
        let next = key.0 + member.interval();
        self.schedule(next, address);
        self.send(key.0, address, ticked.outgoing);
    }

    fn arrive(&mut self, key: (Duration, usize)) {
        let Some(flight) = self.flights.remove(&key) else { return };
        let Ok(beat) = unseal::<Heartbeat>(&self.secrets, &flight.bytes) else { return };
        let Some(member) = self.members.get_mut(&flight.to) else { return };
        let taken = member.receive(key.0, flight.from, beat, DocumentStatus::default());
        self.send(key.0, flight.to, taken.replies);
    }

    fn send(&mut self, now: Duration, from: SocketAddr, outgoing: Vec<Outgoing>) {
        for beat in outgoing {
            let Ok(bytes) = seal(&self.secrets, &beat.heartbeat) else { continue };
            *self.sent.entry(from).or_default() += bytes.len() + HEADER_BYTES;
            self.serial += 1;
            let flight = Flight { from, to: beat.to, bytes };
            self.flights.insert((now + LATENCY, self.serial), flight);
        }
    }

    fn schedule(&mut self, at: Duration, address: SocketAddr) {
        self.serial += 1;
        self.ticks.insert((at, self.serial), address);
    }

    /// Live upstreams that an entry knows of, on average.
    fn known(&self) -> f64 {
        let entries = self.members.iter().filter(|(address, _)| is_entry(number(address)));
        let counts: Vec<usize> = entries.map(|(_, m)| m.live_agents()).collect();
        counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64
    }
}

fn is_entry(number: usize) -> bool {
    (number / ZONES) % 10 < ENTRIES_OF_TEN
}

fn process(number: usize) -> Process {
    let role = if is_entry(number) { ProcessRole::Entry } else { ProcessRole::Agent };
    Process {
        name: Name::from(format!("process-{number}")),
        zone: Name::from(format!("zone-{}", number % ZONES)),
        role,
        address: SocketAddr::from(([10, 2, (number / 250) as u8, (number % 250) as u8], 7300)),
        incarnation: Incarnation(1 + number as u64),
    }
}

fn number(address: &SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let octets = v4.ip().octets();
            usize::from(octets[2]) * 250 + usize::from(octets[3])
        }
        SocketAddr::V6(_) => 0,
    }
}
