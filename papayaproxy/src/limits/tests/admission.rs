//! Admission control: shares, order, refusal and expiry.

use super::super::admission::{Admission, AdmissionDecision, QueueDecision};
use super::super::codes;
use super::super::constants::QUEUE_MAX;
use super::super::queue::Offer;
use super::{offer, secs};
use crate::base::name::Name;
use rstest::rstest;
use std::time::Duration;

fn full(capacity: u32) -> Admission {
    let mut admission = Admission::new(capacity);
    for id in 0..u64::from(capacity) {
        assert_eq!(
            admission.offer(offer(1000 + id, "large", 1), secs(0.0)),
            AdmissionDecision::Admit
        );
    }
    admission
}

fn release_and_next(
    admission: &mut Admission,
    workspace: &str,
    now: Duration,
) -> Option<QueueDecision> {
    admission.release(&Name::from(workspace), 10, secs(0.2));
    admission.next(now)
}

#[test]
fn offer_admits_up_to_capacity() {
    let mut admission = full(2);
    assert!(matches!(
        admission.offer(offer(1, "large", 1), secs(0.0)),
        AdmissionDecision::Queue { .. }
    ));
    assert_eq!(admission.running(), 2);
}

#[test]
fn next_least_used_workspace_first() {
    let mut admission = full(4);
    for id in 1..4 {
        admission.offer(offer(id, "large", 1), secs(0.0));
    }
    admission.offer(offer(9, "small", 1), secs(0.0));
    assert_eq!(release_and_next(&mut admission, "large", secs(0.1)), Some(QueueDecision::Run(9)));
}

#[test]
fn next_shares_weighted() {
    let mut admission = full(8);
    for id in 0..20 {
        admission.offer(offer(id, "heavy", 3), secs(0.0));
        admission.offer(offer(100 + id, "light", 1), secs(0.0));
    }
    let runs = (0..8).filter_map(|_| release_and_next(&mut admission, "large", secs(0.0)));
    let heavy = runs.filter(|s| matches!(s, QueueDecision::Run(id) if *id < 100)).count();
    assert_eq!(heavy, 6);
}

#[rstest]
#[case::priority(Offer { priority: 9, ..offer(2, "large", 1) })]
#[case::deadline(Offer { deadline: secs(50.0), ..offer(2, "large", 1) })]
fn next_order_within_workspace(#[case] sooner: Offer) {
    let mut admission = full(1);
    admission.offer(offer(1, "large", 1), secs(0.0));
    admission.offer(sooner, secs(0.0));
    assert_eq!(release_and_next(&mut admission, "large", secs(0.1)), Some(QueueDecision::Run(2)));
}

#[test]
fn offer_refused_early() {
    let mut admission = full(1);
    let short = Offer { deadline: secs(0.5), ..offer(1, "large", 1) };
    let AdmissionDecision::Refuse(refused) = admission.offer(short, secs(0.0)) else {
        panic!("expected a refusal, since the request cannot finish in time");
    };
    assert_eq!(refused.code, codes::DEADLINE_UNREACHABLE);
    assert!(refused.retry_after > Duration::ZERO);
}

#[test]
fn offer_refused_long_wait() {
    let mut admission = full(1);
    let decisions: Vec<AdmissionDecision> =
        (1..10).map(|id| admission.offer(offer(id, "large", 1), secs(0.0))).collect();
    let refused = decisions.iter().filter(|v| matches!(v, AdmissionDecision::Refuse(_))).count();
    assert!(refused > 0 && admission.waiting() > 0, "{decisions:?}");
}

#[test]
fn offer_displaces_less_urgent() {
    let mut admission = full(1000);
    for id in 0..QUEUE_MAX as u64 {
        let late = Offer { deadline: secs(90.0 + id as f64), ..offer(id, "large", 1) };
        assert_eq!(admission.offer(late, secs(0.0)), AdmissionDecision::Queue { displaced: None });
    }
    let same = admission.offer(offer(300, "large", 1), secs(0.0));
    assert!(matches!(same, AdmissionDecision::Refuse(r) if r.code == codes::QUEUE_FULL));
    let urgent = Offer { priority: 9, ..offer(301, "large", 1) };
    let last = QUEUE_MAX as u64 - 1;
    assert_eq!(
        admission.offer(urgent, secs(0.0)),
        AdmissionDecision::Queue { displaced: Some(last) }
    );
}

#[test]
fn next_expires_late() {
    let mut admission = full(1);
    admission.offer(Offer { deadline: secs(5.0), ..offer(1, "large", 1) }, secs(0.0));
    assert_eq!(admission.next(secs(1.0)), None);
    assert_eq!(admission.next(secs(4.95)), Some(QueueDecision::Expire(1)));
}

#[test]
fn withdraw_once() {
    let mut admission = full(1);
    admission.offer(offer(1, "large", 1), secs(0.0));
    assert!(admission.withdraw(1));
    assert!(!admission.withdraw(1));
    assert_eq!(release_and_next(&mut admission, "large", secs(0.1)), None);
}

#[test]
fn usage_idle_workspaces_forgotten() {
    let mut admission = Admission::new(4);
    for id in 0..10_000 {
        let name = format!("workspace-{id}");
        let now = secs(id as f64);
        let offered = Offer { deadline: now + secs(1.0), ..offer(id, &name, 1) };
        assert_eq!(admission.offer(offered, now), AdmissionDecision::Admit);
        admission.release(&Name::from(name), 10, secs(0.1));
    }
    assert!(
        admission.workspace_count() < 200,
        "{} usage records are left",
        admission.workspace_count()
    );
}
