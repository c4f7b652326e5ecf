//! Property tests of the version order.

use crate::base::digest::Digest;
use crate::fleet::{Verdict, Version, VersionAge, VersionTracker, codes};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Processes in a simulated run.
const PROCESSES: usize = 6;

/// An event of a simulated run.
#[derive(Clone, Debug)]
enum Event {
    /// An operator publishes the next generation, or another document of the last one.
    Publish { same: bool, digest: u8 },
    /// A process reads from the platform, which may be `stale` publications behind.
    Read { process: usize, stale: usize },
    /// A process sends its version to another; the datagram stays in flight.
    Send { from: usize, to: usize },
    /// A datagram arrives, possibly late; with `again` it will arrive once more.
    Deliver { at: usize, again: bool },
    /// A process restarts without state.
    Restart { process: usize },
    /// A process moves to this side of a network partition.
    Side { process: usize, side: bool },
}

fn event() -> impl Strategy<Value = Event> {
    let process = 0..PROCESSES;
    prop_oneof![
        (any::<bool>(), any::<u8>()).prop_map(|(same, digest)| Event::Publish { same, digest }),
        (process.clone(), 0..6usize).prop_map(|(process, stale)| Event::Read { process, stale }),
        (process.clone(), process.clone()).prop_map(|(from, to)| Event::Send { from, to }),
        (0..50usize, any::<bool>()).prop_map(|(at, again)| Event::Deliver { at, again }),
        process.clone().prop_map(|process| Event::Restart { process }),
        (process, any::<bool>()).prop_map(|(process, side)| Event::Side { process, side }),
    ]
}

struct Datagram {
    to: usize,
    version: Version,
}

struct World {
    orders: Vec<VersionTracker>,
    sides: [bool; PROCESSES],
    published: Vec<Version>,
    in_flight: Vec<Datagram>,
    unguarded: bool,
}

fn fresh(unguarded: bool) -> VersionTracker {
    let mut order = VersionTracker::default();
    order.unguarded = unguarded;
    order
}

impl World {
    fn new(unguarded: bool) -> Self {
        let order = fresh(unguarded);
        Self {
            orders: vec![order; PROCESSES],
            sides: [false; PROCESSES],
            published: Vec::new(),
            in_flight: Vec::new(),
            unguarded,
        }
    }

    fn step(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match *event {
            Event::Publish { same, digest } => {
                let last = self.published.last().map_or(0, |v| v.generation);
                let generation = if same { last.max(1) } else { last + 1 };
                self.published.push(Version { generation, digest: Digest([digest; 16]) });
            }
            Event::Read { process, stale } => {
                let at = self.published.len().saturating_sub(stale + 1);
                if let Some(version) = self.published.get(at).copied() {
                    self.offer(process, None, version)?;
                }
            }
            Event::Send { from, to } if self.sides[from] == self.sides[to] => {
                let version = self.orders[from].in_force();
                self.in_flight.extend(version.map(|version| Datagram { to, version }));
            }
            Event::Send { .. } => {}
            Event::Deliver { at, again } if !self.in_flight.is_empty() => {
                let at = at % self.in_flight.len();
                let Datagram { to, version } = self.in_flight[at];
                if !again {
                    self.in_flight.swap_remove(at);
                }
                self.receive(to, version)?;
            }
            Event::Deliver { .. } => {}
            Event::Restart { process } => {
                self.orders[process] = fresh(self.unguarded);
            }
            Event::Side { process, side } => self.sides[process] = side,
        }
        Ok(())
    }

    /// A process receives a version and fetches the document from the sender.
    fn receive(&mut self, process: usize, version: Version) -> Result<(), TestCaseError> {
        let age = self.orders[process].record_announced(version);
        if age == VersionAge::Newer || self.unguarded {
            self.offer(process, Some(version), version)?;
        }
        Ok(())
    }

    fn offer(
        &mut self,
        process: usize,
        announced: Option<Version>,
        version: Version,
    ) -> Result<(), TestCaseError> {
        let before = self.orders[process].in_force();
        let verdict = self.orders[process].offer(announced, version);
        let after = self.orders[process].in_force();
        prop_assert!(after >= before, "process {process} went from {before:?} to {after:?}");
        let raced = before.is_some_and(|b| b.races(&version));
        match verdict {
            Verdict::Accepted { replaced, race } => {
                prop_assert_eq!((replaced, race), (before, raced));
                prop_assert_eq!(after, Some(version));
            }
            Verdict::Confirmed => prop_assert_eq!(before, Some(version)),
            Verdict::Refused { code } => {
                prop_assert_eq!(code == codes::VERSION_RACE, raced);
                prop_assert_eq!(after, before);
            }
        }
        Ok(())
    }

    /// Exchanges versions within each side and checks that it agrees on its highest version.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for side in [false, true] {
            let members: Vec<usize> = (0..PROCESSES).filter(|p| self.sides[*p] == side).collect();
            let highest = members.iter().filter_map(|p| self.orders[*p].in_force()).max();
            for _ in 0..2 {
                for (from, to) in members.iter().flat_map(|f| members.iter().map(move |t| (*f, *t)))
                {
                    if let Some(version) = self.orders[from].in_force() {
                        self.receive(to, version)?;
                    }
                }
            }
            for process in members {
                prop_assert_eq!(self.orders[process].in_force(), highest);
            }
        }
        Ok(())
    }
}

fn run(events: &[Event], unguarded: bool) -> Result<(), TestCaseError> {
    let mut world = World::new(unguarded);
    for event in events {
        world.step(event)?;
    }
    world.settle()
}

proptest! {
    #[test]
    fn order_random_runs(events in proptest::collection::vec(event(), 1..200)) {
        run(&events, false)?;
    }
}

/// Checks with a fixed seed that the property test detects a decrease without the guard.
#[test]
fn order_unguarded_caught() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config { failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = proptest::collection::vec(event(), 1..200);
    let found = runner.run(&events, |events| run(&events, true));
    assert!(found.unwrap_err().to_string().contains("went from"));
}

#[test]
fn order_mismatch_refused() {
    let version = |generation| Version { generation, digest: Digest([1; 16]) };
    let mut order = VersionTracker::default();
    let verdict = order.offer(Some(version(2)), version(1));
    assert_eq!(verdict, Verdict::Refused { code: codes::VERSION_MISMATCH });
    assert_eq!(order.in_force(), None);
}
