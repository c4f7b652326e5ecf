//! Randomised sequences of calls to admission control, which must keep its invariants; and faulty
//! variants, which its assertions must catch.

use super::super::admission::{Admission, AdmissionDecision, QueueDecision};
use super::super::queue::Offer;
use super::{offer, secs};
use crate::base::name::Name;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use std::time::Duration;

#[derive(Clone, Debug)]
enum Action {
    Offer { workspace: u8, priority: u8, allowed: u16 },
    Release,
    Withdraw,
    Resize(u32),
    Wait(u16),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (0..4u8, 0..10u8, 50..6000u16).prop_map(|(workspace, priority, allowed)| {
            Action::Offer { workspace, priority, allowed }
        }),
        4 => Just(Action::Release),
        1 => Just(Action::Withdraw),
        1 => (1..12u32).prop_map(Action::Resize),
        2 => (1..2000u16).prop_map(Action::Wait),
    ]
}

/// Caller's view of admission control, against which its answers are checked.
struct Caller {
    admission: Admission,
    now: Duration,
    offers: Vec<Offer>,
    running: Vec<u64>,
    waiting: Vec<u64>,
    answered: usize,
}

impl Caller {
    fn new(admission: Admission) -> Self {
        let (offers, running, waiting) = (Vec::new(), Vec::new(), Vec::new());
        Self { admission, now: Duration::ZERO, offers, running, waiting, answered: 0 }
    }

    fn act(&mut self, action: &Action) {
        match action {
            Action::Offer { workspace, priority, allowed } => {
                self.offer(*workspace, *priority, *allowed);
            }
            Action::Release if !self.running.is_empty() => {
                let offer = self.offers[self.running.remove(0) as usize].clone();
                self.admission.release(&offer.workspace, offer.cost, secs(0.3));
            }
            Action::Withdraw if !self.waiting.is_empty() => {
                assert!(self.admission.withdraw(self.waiting.remove(0)));
                self.answered += 1;
            }
            Action::Resize(capacity) => self.admission.resize(*capacity),
            Action::Wait(millis) => self.now += Duration::from_millis(u64::from(*millis)),
            _ => {}
        }
        self.drain();
    }

    fn offer(&mut self, workspace: u8, priority: u8, allowed: u16) {
        let id = self.offers.len() as u64;
        let name = format!("workspace-{workspace}");
        let deadline = self.now + Duration::from_millis(u64::from(allowed));
        let share = u32::from(workspace) + 1;
        let offered = Offer { priority, deadline, ..offer(id, &name, share) };
        self.offers.push(offered.clone());
        match self.admission.offer(offered, self.now) {
            AdmissionDecision::Admit => self.run(id),
            AdmissionDecision::Refuse(_) => self.answered += 1,
            AdmissionDecision::Queue { displaced } => {
                self.waiting.push(id);
                displaced.into_iter().for_each(|other| self.answer(other));
            }
        }
    }

    fn drain(&mut self) {
        while let Some(decision) = self.admission.next(self.now) {
            match decision {
                QueueDecision::Expire(id) => self.answer(id),
                QueueDecision::Run(id) => {
                    self.waiting.retain(|w| *w != id);
                    self.run(id);
                }
            }
        }
    }

    fn run(&mut self, id: u64) {
        self.running.push(id);
        self.answered += 1;
        let offer = &self.offers[id as usize];
        assert!(
            self.now + offer.min_runtime <= offer.deadline,
            "request {id} runs too late to finish by its deadline"
        );
    }

    fn answer(&mut self, id: u64) {
        let before = self.waiting.len();
        self.waiting.retain(|w| *w != id);
        assert_eq!(before, self.waiting.len() + 1, "request {id} was answered but is not waiting");
        self.answered += 1;
    }

    fn check(&self) {
        assert_eq!(self.admission.running() as usize, self.running.len());
        assert_eq!(self.admission.waiting(), self.waiting.len());
        assert_eq!(self.offers.len(), self.answered + self.waiting.len());
    }
}

proptest! {
    #[test]
    fn admission_any_actions(actions in prop::collection::vec(action(), 1..200)) {
        let mut caller = Caller::new(Admission::new(4));
        for action in &actions {
            caller.act(action);
            caller.check();
        }
    }
}

/// Without the check for free capacity, more requests are admitted than the capacity allows; the
/// assertion P1604 must fail.
#[test]
#[should_panic(expected = "P1604")]
fn admission_without_room_check_caught() {
    let mut admission = Admission::new(4);
    admission.skips_room_check = true;
    let mut caller = Caller::new(admission);
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    for _ in 0..2000 {
        let tree = action().new_tree(&mut runner).expect("the strategy generates values");
        caller.act(&tree.current());
    }
}

/// If an expired request is dropped without an answer, it is lost; the assertion P1605 must fail.
#[test]
#[should_panic(expected = "P1605")]
fn admission_dropping_expired_caught() {
    let mut admission = Admission::new(1);
    admission.drops_expired = true;
    admission.offer(offer(0, "a", 1), secs(0.0));
    admission.offer(Offer { deadline: secs(5.0), ..offer(1, "a", 1) }, secs(0.0));
    assert_eq!(admission.next(secs(6.0)), None);
    admission.release(&Name::from("a"), 10, secs(0.1));
}
