//! Randomised tests of the key table: duplicated and reordered calls of several entries, agent
//! restarts, late ends of runs, and revocations concurrent with starts.
//!
//! The long run is `PROPTEST_CASES=20000 cargo test --release -p papayaproxy --lib
//! delivery::tests::machine::keys_hold`.

use super::super::codes;
use super::super::keys::{Claim, Guard, KeyTable};
use super::super::record::{BeginDecision, Lookup, RunOutcome, StoredReply};
use super::super::settings::KeySettings;
use super::super::token::Token;
use super::{claim, reply, secs};
use crate::base::code::outcome;
use crate::base::code::{Code, Outcome};
use crate::base::name::Incarnation;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const STEPS: std::ops::Range<usize> = 1..60;
const CASES: u32 = 256;

/// How a run at the upstream ends.
#[derive(Clone, Copy, Debug)]
enum RunEnd {
    Completed,
    NotRun,
    /// The agent lost the reply; the request ran.
    LostAfterRun,
    /// The agent lost the connection; the request did not run.
    LostBeforeRun,
}

#[derive(Clone, Debug)]
enum Step {
    Issue,
    /// An entry sends a call. `Deliver` delivers copies of it, in any order and any number of times.
    Send {
        key: usize,
        body: u8,
        foreign: bool,
        limit_s: u64,
    },
    Deliver {
        copy: usize,
    },
    Finish {
        run: usize,
        end: RunEnd,
    },
    Revoke {
        key: usize,
    },
    Lookup {
        key: usize,
    },
    Wait {
        seconds: u64,
    },
    Close,
    Reopen,
    Restart,
}

/// Generates steps. Their indices are taken modulo the number of existing items.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let index = 0usize..64;
        let end = prop_oneof![
            4 => Just(RunEnd::Completed),
            1 => Just(RunEnd::NotRun),
            1 => Just(RunEnd::LostAfterRun),
            1 => Just(RunEnd::LostBeforeRun),
        ];
        let send = (index.clone(), 0u8..8, 0u8..12, prop_oneof![4 => Just(600u64), 1 => 0u64..20]);
        let send = send.prop_map(|(key, body, foreign, limit_s)| Step::Send {
            key,
            body: u8::from(body == 0),
            foreign: foreign == 0,
            limit_s,
        });
        prop_oneof![
            4 => Just(Step::Issue),
            6 => send,
            10 => index.clone().prop_map(|copy| Step::Deliver { copy }),
            5 => (index.clone(), end).prop_map(|(run, end)| Step::Finish { run, end }),
            2 => index.clone().prop_map(|key| Step::Revoke { key }),
            3 => index.prop_map(|key| Step::Lookup { key }),
            4 => prop_oneof![Just(1u64), 1u64..30, 30u64..130]
                .prop_map(|seconds| Step::Wait { seconds }),
            1 => Just(Step::Close),
            2 => Just(Step::Reopen),
            1 => Just(Step::Restart),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Clone)]
struct Sent {
    key: usize,
    claim: Claim,
}

struct Running {
    key: usize,
    number: u32,
}

/// What the upstream ran for a key, and what callers were answered.
#[derive(Default)]
struct History {
    starts: u32,
    runs: u32,
    reported_not_run: bool,
    completed: Option<Arc<StoredReply>>,
}

/// One upstream with the key table of its agent, the calls sent to it and the runs in progress.
struct Simulation {
    table: KeyTable,
    incarnation: u64,
    now: Duration,
    keys: Vec<Token>,
    histories: HashMap<usize, History>,
    sent: Vec<Sent>,
    runs: Vec<Running>,
    disabled: Option<Guard>,
}

fn settings() -> KeySettings {
    KeySettings { keys_max: 12, reply_bytes_max: 24, ..super::settings() }
}

fn new_table(incarnation: u64, disabled: Option<Guard>) -> KeyTable {
    let mut table = KeyTable::new("ledger-1".into(), Incarnation(incarnation), settings());
    table.disabled = disabled;
    table
}

impl Simulation {
    fn new(disabled: Option<Guard>) -> Self {
        Self {
            table: new_table(1, disabled),
            incarnation: 1,
            now: secs(1),
            keys: Vec::new(),
            histories: HashMap::new(),
            sent: Vec::new(),
            runs: Vec::new(),
            disabled,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Issue => self.issue(),
            Step::Send { key, body, foreign, limit_s } => self.send(key, body, foreign, limit_s),
            Step::Deliver { copy } => self.deliver(copy),
            Step::Finish { run, end } => self.finish(run, end),
            Step::Revoke { key } => self.query(key, true),
            Step::Lookup { key } => self.query(key, false),
            Step::Wait { seconds } => self.now += secs(seconds),
            Step::Close => self.table.close(codes::KEYS_FULL),
            Step::Reopen => self.table.reopen(),
            Step::Restart => self.restart(),
        }
        self.check();
    }

    fn issue(&mut self) {
        let issued = self.table.issue(1, &"north".into(), &"ledger".into(), self.now);
        self.keys.extend(issued.unwrap_or_default());
    }

    fn send(&mut self, key: usize, body: u8, foreign: bool, limit_s: u64) {
        if self.keys.is_empty() {
            return;
        }
        let mut claim = claim(&[body]);
        claim.deadline = self.now + secs(limit_s);
        if foreign {
            claim.workspace = "south".into();
        }
        self.sent.push(Sent { key: key % self.keys.len(), claim });
    }

    fn deliver(&mut self, copy: usize) {
        if self.sent.is_empty() {
            return;
        }
        let sent = self.sent[copy % self.sent.len()].clone();
        let token = self.keys[sent.key].clone();
        let begin = self.table.begin(&token, &sent.claim, self.now);
        let is_own = sent.claim.workspace == token.workspace;
        match begin {
            BeginDecision::Run => {
                assert!(is_own, "a key started for another workspace");
                let history = self.histories.entry(sent.key).or_default();
                history.starts += 1;
                self.runs.push(Running { key: sent.key, number: history.starts });
            }
            BeginDecision::Replay(reply) => self.record_reply(sent.key, reply),
            BeginDecision::Wait => {}
            BeginDecision::Refused(code) if is_own => self.record_code(sent.key, code),
            BeginDecision::Refused(code) => assert_eq!(code, codes::KEY_WORKSPACE),
        }
    }

    fn finish(&mut self, run: usize, end: RunEnd) {
        if self.runs.is_empty() {
            return;
        }
        let run = self.runs.swap_remove(run % self.runs.len());
        let history = self.histories.entry(run.key).or_default();
        let body = reply(&format!("{}-{}", run.key, run.number));
        let (ran, finish) = match end {
            RunEnd::Completed => (1, RunOutcome::Completed(body)),
            RunEnd::NotRun => (0, RunOutcome::NotRun(codes::KEYS_FULL)),
            RunEnd::LostAfterRun => (1, RunOutcome::Unknown(codes::RUN_ABANDONED)),
            RunEnd::LostBeforeRun => (0, RunOutcome::Unknown(codes::RUN_ABANDONED)),
        };
        history.runs += ran;
        self.table.finish(&self.keys[run.key].clone(), finish, self.now);
    }

    fn query(&mut self, key: usize, revoke: bool) {
        if self.keys.is_empty() {
            return;
        }
        let key = key % self.keys.len();
        let token = self.keys[key].clone();
        let workspace = token.workspace.clone();
        let state = if revoke {
            self.table.revoke(&token, &workspace, self.now)
        } else {
            self.table.lookup(&token, &workspace, self.now)
        };
        match state {
            Lookup::Completed(reply) => self.record_reply(key, reply),
            Lookup::Status(code) => self.record_code(key, code),
        }
    }

    /// The agent restarts and loses its state. Requests in progress at the upstream still run.
    fn restart(&mut self) {
        for run in std::mem::take(&mut self.runs) {
            self.histories.entry(run.key).or_default().runs += 1;
        }
        self.incarnation += 1;
        self.table = new_table(self.incarnation, self.disabled);
    }

    fn record_code(&mut self, key: usize, code: Code) {
        if outcome(code) == Outcome::NotRun {
            self.histories.entry(key).or_default().reported_not_run = true;
        }
    }

    fn record_reply(&mut self, key: usize, reply: Arc<StoredReply>) {
        let history = self.histories.entry(key).or_default();
        let expected = format!("{key}-1");
        assert_eq!(reply.body, expected.as_bytes(), "the reply of another request");
        let first = history.completed.get_or_insert_with(|| reply.clone());
        assert_eq!(*first, reply, "the outcome of a finished key changed");
        assert_eq!(history.runs, 1, "completed, but it did not run");
    }

    fn check(&self) {
        for (key, history) in &self.histories {
            assert!(history.starts <= 1, "key {key} started {} times", history.starts);
            let running = self.runs.iter().any(|r| r.key == *key);
            let has_started = history.runs > 0 || running;
            assert!(
                !(history.reported_not_run && has_started),
                "key {key} ran, but not-run was reported"
            );
        }
        assert!(self.table.reply_bytes() <= settings().reply_bytes_max);
        let running = self.runs.len();
        assert!(self.table.len() <= settings().keys_max + running, "more records than issued keys");
    }
}

struct KeyMachine;

impl StateMachineTest for KeyMachine {
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test((): &()) -> Simulation {
        Simulation::new(None)
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        simulation.apply(step);
        simulation
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(Config { cases: cases(), failure_persistence: None, ..Config::default() })]

    #[test]
    fn keys_hold(sequential STEPS => KeyMachine);
}

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|c| c.parse().ok()).unwrap_or(CASES)
}

/// Seed with which the tests detect each disabled guard.
const SEED: u64 = 20_261_204;

/// Number of the first case that fails with the guard `disabled`; `None` if all cases pass.
fn first_failure(disabled: Option<Guard>) -> Option<u32> {
    let config = Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let strategy = Steps::sequential_strategy(STEPS);
    for case in 0..2000 {
        let tree = strategy.new_tree(&mut runner).unwrap();
        let ((), steps, _) = tree.current();
        let run = move || steps.into_iter().fold(Simulation::new(disabled), KeyMachine::step);
        if std::panic::catch_unwind(run).is_err() {
            return Some(case);
        }
    }
    None
}

impl KeyMachine {
    fn step(simulation: Simulation, step: Step) -> Simulation {
        <Self as StateMachineTest>::apply(simulation, &(), step)
    }
}

#[rstest::rstest]
#[case::known(Guard::Known)]
#[case::expiry(Guard::Expiry)]
#[case::incarnation(Guard::Incarnation)]
#[case::retention(Guard::Retention)]
#[case::revoke(Guard::Revoke)]
fn keys_disabled_guard_found(#[case] guard: Guard) {
    let case = first_failure(Some(guard));
    println!("seed {SEED}, {guard:?} disabled: case {case:?}");
    assert!(case.is_some(), "no case fails with {guard:?} disabled");
}

#[test]
fn keys_all_guards_pass() {
    assert_eq!(first_failure(None), None);
}
