//! Tests of fencing and shares. Stand-ins honour numbers or ignore them.

use super::codes;
use super::constants::{DECISION_LIFE, MEMBERS_MEMORY, ORDER_LIFE};
use super::gate::{Answer, Gate, Numbered};
use super::order::{Action, Order, Target};
use super::share::{Purpose, Share};
use crate::base::name::Incarnation;
use crate::fleet::Fencing;
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn order(issue: u64) -> Order {
    Order { target: Target::Role, issue, action: Action::Load { version: issue as u32 } }
}

fn open(now: Duration, number: u64, fencing: Fencing) -> Gate {
    Gate::open(now, Incarnation(number), fencing)
}

/// An engine that keeps the last order, with or without a check of numbers.
struct Engine {
    fencing: Fencing,
    current: u64,
    issue: u64,
}

impl Engine {
    fn new(fencing: Fencing) -> Self {
        Self { fencing, current: 0, issue: 0 }
    }

    fn take(&mut self, numbered: &Numbered) -> Answer {
        if self.fencing == Fencing::Checked && numbered.fence <= self.current {
            return Answer::Outdated { current: self.current };
        }
        self.current = numbered.fence;
        assert!(
            numbered.order.issue >= self.issue,
            "order {} after {}",
            numbered.order.issue,
            self.issue
        );
        self.issue = numbered.order.issue;
        Answer::Done
    }
}

#[test]
fn checked_engine_refuses_paused_agent() {
    let mut engine = Engine::new(Fencing::Checked);
    let mut old = open(secs(0), 100, Fencing::Checked);
    old.learn(engine.current);
    let late = old.offer(secs(1), secs(1), order(1)).unwrap();
    let mut new = open(secs(2), 50, Fencing::Checked);
    engine.current = 120;
    new.learn(engine.current);
    let sent = new.offer(secs(2), secs(2), order(2)).unwrap();
    assert_eq!(engine.take(&sent), Answer::Done);
    let answer = engine.take(&late);
    assert_eq!(answer, Answer::Outdated { current: sent.fence });
    old.answer(secs(9), late.fence, answer);
    assert_eq!(old.offer(secs(9), secs(9), order(3)), Err(codes::AGENT_SUPERSEDED));
    assert_eq!(engine.issue, 2);
}

#[test]
fn ignoring_engine_waits_for_predecessor() {
    let mut new = open(secs(10), 7, Fencing::Ignored);
    assert_eq!(new.offer(secs(11), secs(11), order(2)), Err(codes::ORDER_EARLY));
    let later = secs(10) + ORDER_LIFE;
    assert!(new.offer(later, later, order(2)).is_ok());
}

#[rstest]
#[case::repeated(order(2), codes::ORDER_DONE)]
#[case::late(order(1), codes::ORDER_STALE)]
fn order_does_nothing(#[case] again: Order, #[case] code: crate::base::code::Code) {
    let mut gate = open(secs(0), 7, Fencing::Checked);
    gate.learn(0);
    let sent = gate.offer(secs(0), secs(0), order(2)).unwrap();
    assert_eq!(gate.offer(secs(0), secs(0), order(2)), Err(codes::ORDER_BUSY));
    gate.answer(secs(1), sent.fence, Answer::Done);
    assert_eq!(gate.offer(secs(1), secs(1), again), Err(code));
}

#[test]
fn order_decided_before_pause() {
    let mut gate = open(secs(0), 7, Fencing::Checked);
    gate.learn(0);
    let woken = DECISION_LIFE + secs(1);
    assert_eq!(gate.offer(woken, secs(0), order(1)), Err(codes::ORDER_EXPIRED));
}

/// Replaces agents one after the other, each with its orders delivered late. No earlier order may
/// take effect after a later one. `guarded` is the wait for what a predecessor sent.
fn replace(fencing: Fencing, guarded: bool, delays: &[u8]) {
    let mut engine = Engine::new(fencing);
    let mut flights: Vec<(Duration, Numbered)> = Vec::new();
    let mut now = secs(0);
    for (issue, delay) in (1..).zip(delays) {
        let mut gate = open(now, 1000 * issue, fencing);
        gate.guarded = guarded;
        gate.learn(engine.current);
        while gate.offer(now, now, order(issue)).map(|n| flights.push((now, n))).is_err() {
            now += secs(1);
            arrive(&mut engine, &mut flights, now, 5);
        }
        now += Duration::from_millis(u64::from(*delay) * 20);
        arrive(&mut engine, &mut flights, now, u64::from(*delay) % 6);
    }
    arrive(&mut engine, &mut flights, now + ORDER_LIFE, 0);
    assert_eq!(engine.issue, delays.len() as u64);
}

/// Delivers what was sent `after` seconds ago or more, the newest first.
fn arrive(engine: &mut Engine, flights: &mut Vec<(Duration, Numbered)>, now: Duration, after: u64) {
    let due = |f: &(Duration, Numbered)| f.0 + secs(after) <= now;
    let mut found: Vec<_> = flights.extract_if(.., |f| due(f)).collect();
    found.reverse();
    found.iter().for_each(|(_, n)| _ = engine.take(n));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn replacement_never_reverts(checked: bool, delays in proptest::collection::vec(any::<u8>(), 1..12)) {
        let fencing = if checked { Fencing::Checked } else { Fencing::Ignored };
        replace(fencing, true, &delays);
    }
}

#[test]
fn replacement_without_wait() {
    let run = || replace(Fencing::Ignored, false, &[1, 5]);
    assert!(std::panic::catch_unwind(run).is_err());
    replace(Fencing::Ignored, true, &[1, 5]);
}

#[test]
fn share_sum_within_rate() {
    let mut shares = vec![Share::new(secs(0), 900.0, 3); 3];
    shares.iter_mut().for_each(|s| s.members(secs(0), 3));
    let mut total = 0;
    for second in 1..=20 {
        shares.iter_mut().for_each(|s| total += s.draw(secs(second), 1000, Purpose::Request));
    }
    assert!(total <= 20 * 900, "drew {total}");
}

#[test]
fn share_follows_members() {
    let mut share = Share::new(secs(0), 800.0, 4);
    share.members(secs(0), 4);
    share.members(secs(1), 8);
    assert!((share.rate() - 100.0).abs() < 1e-9);
    share.members(secs(2), 1);
    assert!((share.rate() - 100.0).abs() < 1e-9);
    share.members(secs(3) + MEMBERS_MEMORY, 1);
    assert!((share.rate() - 400.0).abs() < 1e-9, "half of the named members at least");
}

#[test]
fn share_requests_first() {
    let mut share = Share::new(secs(0), 100.0, 1);
    share.members(secs(0), 1);
    assert_eq!(share.draw(secs(10), 80, Purpose::Request), 50);
    assert_eq!(share.draw(secs(11), 10, Purpose::Prefetch), 0);
    assert_eq!(share.draw(secs(11), 30, Purpose::Request), 30);
    assert_eq!(share.draw(secs(12), 50, Purpose::Prefetch), 25);
}
