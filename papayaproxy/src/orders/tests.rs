//! Tests of fencing and rate shares, with fake engines that check or ignore fencing numbers.

use super::codes;
use super::constants::{DECISION_MAX_AGE, MEMBER_COUNT_WINDOW, ORDER_TTL};
use super::gate::{EngineReply, FencedOrder, OrderGate};
use super::order::{Action, Order, Target};
use super::share::{LoadPurpose, RateShare};
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

fn open_gate(now: Duration, number: u64, fencing: Fencing) -> OrderGate {
    OrderGate::open(now, Incarnation(number), fencing)
}

/// An engine that records the last order, with or without a check of fencing numbers.
struct Engine {
    fencing: Fencing,
    current: u64,
    issue: u64,
}

impl Engine {
    fn new(fencing: Fencing) -> Self {
        Self { fencing, current: 0, issue: 0 }
    }

    fn receive(&mut self, fenced: &FencedOrder) -> EngineReply {
        if self.fencing == Fencing::Checked && fenced.fence <= self.current {
            return EngineReply::Outdated { current: self.current };
        }
        self.current = fenced.fence;
        assert!(
            fenced.order.issue >= self.issue,
            "order {} after {}",
            fenced.order.issue,
            self.issue
        );
        self.issue = fenced.order.issue;
        EngineReply::Done
    }
}

#[test]
fn checked_engine_refuses_paused_agent() {
    let mut engine = Engine::new(Fencing::Checked);
    let mut old = open_gate(secs(0), 100, Fencing::Checked);
    old.learn_fence(engine.current);
    let late = old.submit(secs(1), secs(1), order(1)).unwrap();
    let mut new = open_gate(secs(2), 50, Fencing::Checked);
    engine.current = 120;
    new.learn_fence(engine.current);
    let sent = new.submit(secs(2), secs(2), order(2)).unwrap();
    assert_eq!(engine.receive(&sent), EngineReply::Done);
    let reply = engine.receive(&late);
    assert_eq!(reply, EngineReply::Outdated { current: sent.fence });
    old.record_reply(secs(9), late.fence, reply);
    assert_eq!(old.submit(secs(9), secs(9), order(3)), Err(codes::AGENT_SUPERSEDED));
    assert_eq!(engine.issue, 2);
}

#[test]
fn ignoring_engine_waits_for_predecessor() {
    let mut new = open_gate(secs(10), 7, Fencing::Ignored);
    assert_eq!(new.submit(secs(11), secs(11), order(2)), Err(codes::ORDER_EARLY));
    let later = secs(10) + ORDER_TTL;
    assert!(new.submit(later, later, order(2)).is_ok());
}

#[rstest]
#[case::repeated(order(2), codes::ORDER_DONE)]
#[case::late(order(1), codes::ORDER_STALE)]
fn order_does_nothing(#[case] again: Order, #[case] code: crate::base::code::Code) {
    let mut gate = open_gate(secs(0), 7, Fencing::Checked);
    gate.learn_fence(0);
    let sent = gate.submit(secs(0), secs(0), order(2)).unwrap();
    assert_eq!(gate.submit(secs(0), secs(0), order(2)), Err(codes::ORDER_BUSY));
    gate.record_reply(secs(1), sent.fence, EngineReply::Done);
    assert_eq!(gate.submit(secs(1), secs(1), again), Err(code));
}

#[test]
fn order_decided_before_pause() {
    let mut gate = open_gate(secs(0), 7, Fencing::Checked);
    gate.learn_fence(0);
    let woken = DECISION_MAX_AGE + secs(1);
    assert_eq!(gate.submit(woken, secs(0), order(1)), Err(codes::ORDER_EXPIRED));
}

/// Replaces agents one after the other, each with its orders delivered late. No earlier order may
/// take effect after a later one. `enforce_wait` enables the wait for a predecessor's orders.
fn simulate_replacements(fencing: Fencing, enforce_wait: bool, delays: &[u8]) {
    let mut engine = Engine::new(fencing);
    let mut in_flight: Vec<(Duration, FencedOrder)> = Vec::new();
    let mut now = secs(0);
    for (issue, delay) in (1..).zip(delays) {
        let mut gate = open_gate(now, 1000 * issue, fencing);
        gate.enforce_wait = enforce_wait;
        gate.learn_fence(engine.current);
        while gate.submit(now, now, order(issue)).map(|n| in_flight.push((now, n))).is_err() {
            now += secs(1);
            deliver(&mut engine, &mut in_flight, now, 5);
        }
        now += Duration::from_millis(u64::from(*delay) * 20);
        deliver(&mut engine, &mut in_flight, now, u64::from(*delay) % 6);
    }
    deliver(&mut engine, &mut in_flight, now + ORDER_TTL, 0);
    assert_eq!(engine.issue, delays.len() as u64);
}

/// Delivers the orders that were sent at least `after` seconds ago, newest first.
fn deliver(
    engine: &mut Engine,
    in_flight: &mut Vec<(Duration, FencedOrder)>,
    now: Duration,
    after: u64,
) {
    let due = |f: &(Duration, FencedOrder)| f.0 + secs(after) <= now;
    let mut found: Vec<_> = in_flight.extract_if(.., |f| due(f)).collect();
    found.reverse();
    found.iter().for_each(|(_, n)| _ = engine.receive(n));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn replacement_never_reverts(checked: bool, delays in proptest::collection::vec(any::<u8>(), 1..12)) {
        let fencing = if checked { Fencing::Checked } else { Fencing::Ignored };
        simulate_replacements(fencing, true, &delays);
    }
}

#[test]
fn replacement_without_wait() {
    let run = || simulate_replacements(Fencing::Ignored, false, &[1, 5]);
    assert!(std::panic::catch_unwind(run).is_err());
    simulate_replacements(Fencing::Ignored, true, &[1, 5]);
}

#[test]
fn share_sum_within_rate() {
    let mut shares = vec![RateShare::new(secs(0), 900.0, 3); 3];
    shares.iter_mut().for_each(|s| s.observe_members(secs(0), 3));
    let mut total = 0;
    for second in 1..=20 {
        shares
            .iter_mut()
            .for_each(|s| total += s.acquire(secs(second), 1000, LoadPurpose::Request));
    }
    assert!(total <= 20 * 900, "acquired {total}");
}

#[test]
fn share_follows_members() {
    let mut share = RateShare::new(secs(0), 800.0, 4);
    share.observe_members(secs(0), 4);
    share.observe_members(secs(1), 8);
    assert!((share.rate() - 100.0).abs() < 1e-9);
    share.observe_members(secs(2), 1);
    assert!((share.rate() - 100.0).abs() < 1e-9);
    share.observe_members(secs(3) + MEMBER_COUNT_WINDOW, 1);
    assert!(
        (share.rate() - 400.0).abs() < 1e-9,
        "the divisor is at least half of the named members"
    );
}

#[test]
fn share_requests_first() {
    let mut share = RateShare::new(secs(0), 100.0, 1);
    share.observe_members(secs(0), 1);
    assert_eq!(share.acquire(secs(10), 80, LoadPurpose::Request), 50);
    assert_eq!(share.acquire(secs(11), 10, LoadPurpose::Prefetch), 0);
    assert_eq!(share.acquire(secs(11), 30, LoadPurpose::Request), 30);
    assert_eq!(share.acquire(secs(12), 50, LoadPurpose::Prefetch), 25);
}
