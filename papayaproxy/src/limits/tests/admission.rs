//! Tests of admission.

use super::super::admission::{Admission, AdmissionDecision, QueueDecision};
use super::super::codes;
use super::super::constants::QUEUE_MAX;
use super::super::queue::Offer;
use super::{offer, secs};
use crate::base::name::Name;
use rstest::rstest;
use std::time::Duration;

fn full(capacity: u32) -> Admission {
    let mut gate = Admission::new(capacity);
    for id in 0..u64::from(capacity) {
        assert_eq!(gate.offer(offer(1000 + id, "large", 1), secs(0.0)), AdmissionDecision::Admit);
    }
    gate
}

fn freed(gate: &mut Admission, workspace: &str, now: Duration) -> Option<QueueDecision> {
    gate.release(&Name::from(workspace), 10, secs(0.2));
    gate.next(now)
}

#[test]
fn offer_admits_up_to_capacity() {
    let mut gate = full(2);
    assert!(matches!(gate.offer(offer(1, "large", 1), secs(0.0)), AdmissionDecision::Queue { .. }));
    assert_eq!(gate.running(), 2);
}

#[test]
fn next_least_used_workspace_first() {
    let mut gate = full(4);
    for id in 1..4 {
        gate.offer(offer(id, "large", 1), secs(0.0));
    }
    gate.offer(offer(9, "small", 1), secs(0.0));
    assert_eq!(freed(&mut gate, "large", secs(0.1)), Some(QueueDecision::Run(9)));
}

#[test]
fn next_shares_weighted() {
    let mut gate = full(8);
    for id in 0..20 {
        gate.offer(offer(id, "heavy", 3), secs(0.0));
        gate.offer(offer(100 + id, "light", 1), secs(0.0));
    }
    let runs = (0..8).filter_map(|_| freed(&mut gate, "large", secs(0.0)));
    let heavy = runs.filter(|s| matches!(s, QueueDecision::Run(id) if *id < 100)).count();
    assert_eq!(heavy, 6);
}

#[rstest]
#[case::priority(Offer { priority: 9, ..offer(2, "large", 1) })]
#[case::deadline(Offer { deadline: secs(50.0), ..offer(2, "large", 1) })]
fn next_order_within_workspace(#[case] sooner: Offer) {
    let mut gate = full(1);
    gate.offer(offer(1, "large", 1), secs(0.0));
    gate.offer(sooner, secs(0.0));
    assert_eq!(freed(&mut gate, "large", secs(0.1)), Some(QueueDecision::Run(2)));
}

#[test]
fn offer_refused_early() {
    let mut gate = full(1);
    let hurried = Offer { deadline: secs(0.5), ..offer(1, "large", 1) };
    let AdmissionDecision::Refuse(refused) = gate.offer(hurried, secs(0.0)) else {
        panic!("it cannot finish in time");
    };
    assert_eq!(refused.code, codes::DEADLINE_UNREACHABLE);
    assert!(refused.retry_after > Duration::ZERO);
}

#[test]
fn offer_refused_long_wait() {
    let mut gate = full(1);
    let verdicts: Vec<AdmissionDecision> =
        (1..10).map(|id| gate.offer(offer(id, "large", 1), secs(0.0))).collect();
    let refused = verdicts.iter().filter(|v| matches!(v, AdmissionDecision::Refuse(_))).count();
    assert!(refused > 0 && gate.waiting() > 0, "{verdicts:?}");
}

#[test]
fn offer_displaces_less_urgent() {
    let mut gate = full(1000);
    for id in 0..QUEUE_MAX as u64 {
        let late = Offer { deadline: secs(90.0 + id as f64), ..offer(id, "large", 1) };
        assert_eq!(gate.offer(late, secs(0.0)), AdmissionDecision::Queue { displaced: None });
    }
    let same = gate.offer(offer(300, "large", 1), secs(0.0));
    assert!(matches!(same, AdmissionDecision::Refuse(r) if r.code == codes::QUEUE_FULL));
    let urgent = Offer { priority: 9, ..offer(301, "large", 1) };
    let last = QUEUE_MAX as u64 - 1;
    assert_eq!(gate.offer(urgent, secs(0.0)), AdmissionDecision::Queue { displaced: Some(last) });
}

#[test]
fn next_expires_late() {
    let mut gate = full(1);
    gate.offer(Offer { deadline: secs(5.0), ..offer(1, "large", 1) }, secs(0.0));
    assert_eq!(gate.next(secs(1.0)), None);
    assert_eq!(gate.next(secs(4.95)), Some(QueueDecision::Expire(1)));
}

#[test]
fn withdraw_once() {
    let mut gate = full(1);
    gate.offer(offer(1, "large", 1), secs(0.0));
    assert!(gate.withdraw(1));
    assert!(!gate.withdraw(1));
    assert_eq!(freed(&mut gate, "large", secs(0.1)), None);
}

#[test]
fn usage_idle_workspaces_forgotten() {
    let mut gate = Admission::new(4);
    for id in 0..10_000 {
        let name = format!("workspace-{id}");
        let now = secs(id as f64);
        let made = Offer { deadline: now + secs(1.0), ..offer(id, &name, 1) };
        assert_eq!(gate.offer(made, now), AdmissionDecision::Admit);
        gate.release(&Name::from(name), 10, secs(0.1));
    }
    assert!(gate.workspace_count() < 200, "{} are kept", gate.workspace_count());
}
