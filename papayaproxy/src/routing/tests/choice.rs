//! Tests of the choice.

use super::super::attempt::{AttemptOutcome, OverdueAttempt};
use super::super::candidates::{Candidates, Distance, Presence};
use super::super::decision::Reason;
use super::super::request::{ModelKey, Request};
use super::super::{SCORED_MAX, codes};
use super::{Bench, ENGINES, document, grouped, leaving, moment, name_of, prepared, report, secs};
use crate::base::code::Code;
use crate::base::name::Name;
use crate::fleet::Role;
use crate::limits::CircuitState;
use crate::membership::LoadReport;
use rstest::rstest;
use std::time::Duration;

fn sent(bench: &mut Bench, at: f64) -> super::super::attempt::Ticket {
    let decision = bench.choose(moment(at), |_| {}).unwrap();
    let workspace = bench.workspace.clone();
    let service = bench.service.clone();
    let request =
        Request { service: &service, workspace: &workspace, ..bench.request().detached() };
    bench.router.record_sent(&decision, &request, secs(at))
}

#[test]
fn choose_own_zone_while_it_has_room() {
    let mut bench = Bench::open(&document());
    for _ in 0..50 {
        let chosen = bench.choose(moment(1.0), |_| {}).unwrap();
        let distance = bench.router.candidates().upstreams[chosen.upstream as usize].distance;
        assert_eq!((distance, chosen.reason), (Distance::Zone, Reason::Drawn));
    }
}

#[test]
fn choose_spills_by_load() {
    let mut bench = Bench::open(&document());
    let busy = LoadReport { queued: 20, running: 32, waiting_tokens: 20_000, ..report() };
    [0, 3].iter().for_each(|&i| bench.router.apply_report(i, &busy, secs(1.0)));
    let chosen = bench.choose(moment(1.0), |_| {}).unwrap();
    assert_eq!(chosen.reason, Reason::Spilled);
}

#[test]
fn choose_alone_when_cut_off() {
    let mut bench = Bench::open(&document());
    let near = |name: &Name| Presence { live: name == "upstream-0", incarnation: None };
    let alone = Candidates::prepare(&document(), &"zone-0".into(), near);
    bench.router.set_candidates(std::sync::Arc::new(alone), secs(1.0));
    assert_eq!(bench.choose(moment(1.0), |_| {}).unwrap().name, "upstream-0");
}

#[test]
fn choose_never_leaving() {
    let mut fleet = document();
    (1..ENGINES).for_each(|i| leaving(&mut fleet, i));
    let mut bench = Bench::open(&fleet);
    for _ in 0..20 {
        assert_eq!(bench.choose(moment(1.0), |_| {}).unwrap().name, "upstream-0");
    }
}

/// Without the check of leave times a leaving upstream is chosen: the assertion P1503 says so.
#[test]
#[should_panic(expected = "P1503")]
fn choose_leaving_caught() {
    let mut fleet = document();
    (0..ENGINES).for_each(|i| leaving(&mut fleet, i));
    let mut bench = Bench::open(&fleet);
    bench.router.blind = true;
    let _ = bench.choose(moment(1.0), |_| {});
}

#[rstest]
#[case::service("other", ModelKey::new("pear", 1, None), codes::SERVICE_UNKNOWN)]
#[case::version("assistant", ModelKey::new("pear", 2, None), codes::NO_CANDIDATE)]
#[case::adapter("assistant", ModelKey::new("pear", 1, Some("raw")), codes::NO_CANDIDATE)]
fn choose_refused(#[case] service: &str, #[case] model: ModelKey, #[case] code: Code) {
    let mut bench = Bench::open(&document());
    bench.service = service.into();
    let refusal = bench.choose(moment(1.0), |r| r.model = Some(model)).unwrap_err();
    assert_eq!(refusal.code, code);
}

#[test]
fn choose_refused_too_late() {
    let mut bench = Bench::open(&document());
    let refusal = bench.choose(moment(1.0), |r| r.time_left = secs(0.5)).unwrap_err();
    assert_eq!(refusal.code, codes::TOO_LATE);
    assert!(refusal.retry_after > Duration::ZERO);
}

#[test]
fn choose_adapter_loaded() {
    let mut bench = Bench::open(&document());
    let ripe = ModelKey::new("pear", 1, Some("ripe"));
    assert!(bench.choose(moment(1.0), |r| r.model = Some(ripe)).is_ok());
}

#[test]
fn choose_role_fits() {
    let mut fleet = document();
    (1..ENGINES).for_each(|i| fleet.upstreams[i].role = Role::Prefill);
    let mut bench = Bench::open(&fleet);
    assert_eq!(bench.choose(moment(1.0), |_| {}).unwrap().name, "upstream-0");
}

#[test]
fn choose_excluded_not_again() {
    let tried: Vec<Name> = (0..ENGINES - 1).map(name_of).collect();
    let mut bench = Bench::open(&document());
    let service = bench.service.clone();
    let workspace = bench.workspace.clone();
    let request = Request {
        service: &service,
        workspace: &workspace,
        excluded: &tried,
        ..bench.request().detached()
    };
    let chosen = bench.router.choose(&request, moment(1.0), &mut bench.rng).unwrap();
    assert_eq!(chosen.name, name_of(ENGINES - 1));
}

#[test]
fn choose_group_by_slowest_rank() {
    let mut fleet = document();
    grouped(&mut fleet, &[0, 1]);
    let mut bench = Bench::open(&fleet);
    let slow = LoadReport { step: Duration::from_millis(100), ..report() };
    bench.router.apply_report(1, &slow, secs(1.0));
    for _ in 0..20 {
        assert_ne!(bench.choose(moment(1.0), |_| {}).unwrap().name, "upstream-0");
    }
}

#[test]
fn choose_counts_what_was_sent() {
    let mut bench = Bench::open(&document());
    let tickets: Vec<_> = (0..12).map(|i| sent(&mut bench, 1.0 + f64::from(i) / 100.0)).collect();
    let on = |i: usize| tickets.iter().filter(|t| *t.upstream() == name_of(i)).count();
    assert!(on(0).abs_diff(on(3)) <= 2, "{} and {}", on(0), on(3));
}

#[test]
fn explain_bounded() {
    let mut bench = Bench::open(&document());
    let prefix: Vec<u64> = (0..40).collect();
    let workspace = bench.workspace.clone();
    let service = bench.service.clone();
    let request = Request {
        service: &service,
        workspace: &workspace,
        prefix: &prefix,
        ..bench.request().detached()
    };
    let chosen = bench.router.choose(&request, moment(1.0), &mut bench.rng).unwrap();
    let text = chosen.explain(bench.router.candidates());
    let count = text.split(' ').count();
    assert!((1..=SCORED_MAX).contains(&count), "{text}");
    assert!(text.contains(&format!("{}=", chosen.name)), "{text}");
}

#[test]
fn record_end_failures_open_circuit() {
    let mut bench = Bench::open(&document());
    let mut changes = Vec::new();
    for i in 0..20 {
        let at = 1.0 + f64::from(i) / 10.0;
        let ticket = sent(&mut bench, at);
        let bad = ticket.upstream() == "upstream-0";
        let end = if bad {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Completed { cached_tokens: None }
        };
        bench.router.record_end(ticket, end, secs(at + 0.05));
        changes.extend(bench.router.take_circuit_changes());
    }
    let opened: Vec<_> = changes.iter().map(|c| (c.upstream.as_str(), c.state)).collect();
    assert_eq!(opened, [("upstream-0", CircuitState::Open)]);
}

#[test]
fn take_overdue_once() {
    let mut bench = Bench::open(&document());
    let ticket = sent(&mut bench, 1.0);
    assert!(bench.router.take_overdue(secs(1.1)).is_empty());
    let overdue = OverdueAttempt { serial: ticket.serial(), upstream: ticket.upstream().clone() };
    assert_eq!(bench.router.take_overdue(secs(20.0)), [overdue]);
    assert!(bench.router.take_overdue(secs(21.0)).is_empty());
    bench.router.record_end(ticket, AttemptOutcome::Cancelled, secs(21.0));
}

#[test]
fn set_candidates_new_incarnation_starts_slowly() {
    let mut bench = Bench::open(&document());
    bench.router.set_candidates(prepared(&document(), 2), secs(5.0));
    (1..ENGINES as u32).for_each(|i| bench.router.apply_report(i, &report(), secs(5.0)));
    let score = |bench: &mut Bench, at: f64| {
        let chosen = bench.choose(moment(at), |_| {}).unwrap();
        chosen.scored.iter().map(|s| s.score).fold(f32::MAX, f32::min)
    };
    assert!(score(&mut bench, 5.1) > 5.0 * score(&mut bench, 30.0));
}
