//! Tests of the choice of upstreams and of the tracking of attempts.

use super::super::attempt::{AttemptOutcome, OverdueAttempt};
use super::super::candidates::{Candidates, Distance, Presence};
use super::super::decision::Reason;
use super::super::request::{ModelKey, Request};
use super::super::{SCORED_MAX, codes};
use super::{
    ENGINES, Fixture, add_group, candidates, document, moment, name_of, report, secs, set_leaving,
};
use crate::base::code::Code;
use crate::base::name::Name;
use crate::fleet::Role;
use crate::limits::CircuitState;
use crate::membership::LoadReport;
use rstest::rstest;
use std::time::Duration;

fn send(fixture: &mut Fixture, at: f64) -> super::super::attempt::Ticket {
    let decision = fixture.choose(moment(at), |_| {}).unwrap();
    let workspace = fixture.workspace.clone();
    let service = fixture.service.clone();
    let request =
        Request { service: &service, workspace: &workspace, ..fixture.request().detached() };
    fixture.router.record_sent(&decision, &request, secs(at))
}

#[test]
fn choose_own_zone_with_capacity() {
    let mut fixture = Fixture::new(&document());
    for _ in 0..50 {
        let chosen = fixture.choose(moment(1.0), |_| {}).unwrap();
        let distance = fixture.router.candidates().upstreams[chosen.upstream as usize].distance;
        assert_eq!((distance, chosen.reason), (Distance::SameZone, Reason::Drawn));
    }
}

#[test]
fn choose_spills_by_load() {
    let mut fixture = Fixture::new(&document());
    let busy = LoadReport { queued: 20, running: 32, waiting_tokens: 20_000, ..report() };
    [0, 3].iter().for_each(|&i| fixture.router.apply_report(i, &busy, secs(1.0)));
    let chosen = fixture.choose(moment(1.0), |_| {}).unwrap();
    assert_eq!(chosen.reason, Reason::Spilled);
}

#[test]
fn choose_only_live_upstream() {
    let mut fixture = Fixture::new(&document());
    let near = |name: &Name| Presence { live: name == "upstream-0", incarnation: None };
    let alone = Candidates::prepare(&document(), &"zone-0".into(), near);
    fixture.router.set_candidates(std::sync::Arc::new(alone), secs(1.0));
    assert_eq!(fixture.choose(moment(1.0), |_| {}).unwrap().name, "upstream-0");
}

#[test]
fn choose_skips_leaving() {
    let mut fleet = document();
    (1..ENGINES).for_each(|i| set_leaving(&mut fleet, i));
    let mut fixture = Fixture::new(&fleet);
    for _ in 0..20 {
        assert_eq!(fixture.choose(moment(1.0), |_| {}).unwrap().name, "upstream-0");
    }
}

/// Guards against a leaving upstream being chosen: without the check of leave times the assertion
/// P1503 must trigger.
#[test]
#[should_panic(expected = "P1503")]
fn choose_leaving_panics() {
    let mut fleet = document();
    (0..ENGINES).for_each(|i| set_leaving(&mut fleet, i));
    let mut fixture = Fixture::new(&fleet);
    fixture.router.skip_leave_check = true;
    let _ = fixture.choose(moment(1.0), |_| {});
}

#[rstest]
#[case::service("other", ModelKey::new("pear", 1, None), codes::SERVICE_UNKNOWN)]
#[case::version("assistant", ModelKey::new("pear", 2, None), codes::NO_CANDIDATE)]
#[case::adapter("assistant", ModelKey::new("pear", 1, Some("raw")), codes::NO_CANDIDATE)]
fn choose_refused(#[case] service: &str, #[case] model: ModelKey, #[case] code: Code) {
    let mut fixture = Fixture::new(&document());
    fixture.service = service.into();
    let refusal = fixture.choose(moment(1.0), |r| r.model = Some(model)).unwrap_err();
    assert_eq!(refusal.code, code);
}

#[test]
fn choose_refused_too_late() {
    let mut fixture = Fixture::new(&document());
    let refusal = fixture.choose(moment(1.0), |r| r.time_left = secs(0.5)).unwrap_err();
    assert_eq!(refusal.code, codes::TOO_LATE);
    assert!(refusal.retry_after > Duration::ZERO);
}

#[test]
fn choose_loaded_adapter() {
    let mut fixture = Fixture::new(&document());
    let ripe = ModelKey::new("pear", 1, Some("ripe"));
    assert!(fixture.choose(moment(1.0), |r| r.model = Some(ripe)).is_ok());
}

#[test]
fn choose_matching_role() {
    let mut fleet = document();
    (1..ENGINES).for_each(|i| fleet.upstreams[i].role = Role::Prefill);
    let mut fixture = Fixture::new(&fleet);
    assert_eq!(fixture.choose(moment(1.0), |_| {}).unwrap().name, "upstream-0");
}

#[test]
fn choose_skips_excluded() {
    let tried: Vec<Name> = (0..ENGINES - 1).map(name_of).collect();
    let mut fixture = Fixture::new(&document());
    let service = fixture.service.clone();
    let workspace = fixture.workspace.clone();
    let request = Request {
        service: &service,
        workspace: &workspace,
        excluded: &tried,
        ..fixture.request().detached()
    };
    let chosen = fixture.router.choose(&request, moment(1.0), &mut fixture.rng).unwrap();
    assert_eq!(chosen.name, name_of(ENGINES - 1));
}

#[test]
fn choose_group_by_slowest_rank() {
    let mut fleet = document();
    add_group(&mut fleet, &[0, 1]);
    let mut fixture = Fixture::new(&fleet);
    let slow = LoadReport { step: Duration::from_millis(100), ..report() };
    fixture.router.apply_report(1, &slow, secs(1.0));
    for _ in 0..20 {
        assert_ne!(fixture.choose(moment(1.0), |_| {}).unwrap().name, "upstream-0");
    }
}

#[test]
fn choose_counts_attempts_in_flight() {
    let mut fixture = Fixture::new(&document());
    let tickets: Vec<_> = (0..12).map(|i| send(&mut fixture, 1.0 + f64::from(i) / 100.0)).collect();
    let on = |i: usize| tickets.iter().filter(|t| *t.upstream() == name_of(i)).count();
    assert!(on(0).abs_diff(on(3)) <= 2, "{} and {}", on(0), on(3));
}

#[test]
fn explain_bounded() {
    let mut fixture = Fixture::new(&document());
    let prefix: Vec<u64> = (0..40).collect();
    let workspace = fixture.workspace.clone();
    let service = fixture.service.clone();
    let request = Request {
        service: &service,
        workspace: &workspace,
        prefix: &prefix,
        ..fixture.request().detached()
    };
    let chosen = fixture.router.choose(&request, moment(1.0), &mut fixture.rng).unwrap();
    let text = chosen.explain(fixture.router.candidates());
    let count = text.split(' ').count();
    assert!((1..=SCORED_MAX).contains(&count), "{text}");
    assert!(text.contains(&format!("{}=", chosen.name)), "{text}");
}

#[test]
fn record_end_failures_open_circuit() {
    let mut fixture = Fixture::new(&document());
    let mut changes = Vec::new();
    for i in 0..20 {
        let at = 1.0 + f64::from(i) / 10.0;
        let ticket = send(&mut fixture, at);
        let bad = ticket.upstream() == "upstream-0";
        let end = if bad {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Completed { cached_tokens: None }
        };
        fixture.router.record_end(ticket, end, secs(at + 0.05));
        changes.extend(fixture.router.take_circuit_changes());
    }
    let opened: Vec<_> = changes.iter().map(|c| (c.upstream.as_str(), c.state)).collect();
    assert_eq!(opened, [("upstream-0", CircuitState::Open)]);
}

#[test]
fn take_overdue_once() {
    let mut fixture = Fixture::new(&document());
    let ticket = send(&mut fixture, 1.0);
    assert!(fixture.router.take_overdue(secs(1.1)).is_empty());
    let overdue = OverdueAttempt { serial: ticket.serial(), upstream: ticket.upstream().clone() };
    assert_eq!(fixture.router.take_overdue(secs(20.0)), [overdue]);
    assert!(fixture.router.take_overdue(secs(21.0)).is_empty());
    fixture.router.record_end(ticket, AttemptOutcome::Cancelled, secs(21.0));
}

#[test]
fn set_candidates_new_incarnation_starts_slowly() {
    let mut fixture = Fixture::new(&document());
    fixture.router.set_candidates(candidates(&document(), 2), secs(5.0));
    (1..ENGINES as u32).for_each(|i| fixture.router.apply_report(i, &report(), secs(5.0)));
    let score = |fixture: &mut Fixture, at: f64| {
        let chosen = fixture.choose(moment(at), |_| {}).unwrap();
        chosen.scored.iter().map(|s| s.score).fold(f32::MAX, f32::min)
    };
    assert!(score(&mut fixture, 5.1) > 5.0 * score(&mut fixture, 30.0));
}
