//! Property tests: random actions keep the assertions of the router, and decisions stay within the
//! scored candidates.

use super::super::attempt::{AttemptOutcome, Ticket};
use super::super::request::Request;
use super::{ENGINES, Fixture, candidates, document, moment, report, secs, set_leaving};
use crate::base::name::Name;
use crate::membership::LoadReport;
use proptest::prelude::*;
use std::time::Duration;

#[derive(Clone, Debug)]
enum Action {
    Send { workspace: u8, template: u64 },
    Start(u8),
    Finish(u8, u8),
    Report { upstream: u8, queued: u8, age: u16 },
    Leave(u8),
    Restart(u64),
    Sweep,
    Wait(u16),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => (0..3u8, 0..3u64).prop_map(|(workspace, template)| Action::Send { workspace, template }),
        2 => any::<u8>().prop_map(Action::Start),
        4 => (any::<u8>(), 0..4u8).prop_map(|(i, end)| Action::Finish(i, end)),
        3 => (0..ENGINES as u8, 0..60u8, 0..3000u16)
            .prop_map(|(upstream, queued, age)| Action::Report { upstream, queued, age }),
        1 => (0..ENGINES as u8).prop_map(Action::Leave),
        1 => (1..4u64).prop_map(Action::Restart),
        1 => Just(Action::Sweep),
        2 => (1..4000u16).prop_map(Action::Wait),
    ]
}

fn apply(fixture: &mut Fixture, tickets: &mut Vec<Ticket>, now: &mut f64, action: &Action) {
    match action {
        Action::Send { workspace, template } => send(fixture, tickets, *now, *workspace, *template),
        Action::Start(i) if !tickets.is_empty() => {
            let index = usize::from(*i) % tickets.len();
            fixture.router.record_start(&tickets[index], secs(*now));
        }
        Action::Finish(i, end) if !tickets.is_empty() => {
            let ticket = tickets.remove(usize::from(*i) % tickets.len());
            let ends = [
                AttemptOutcome::Completed { cached_tokens: Some(0) },
                AttemptOutcome::Failed,
                AttemptOutcome::Refused,
                AttemptOutcome::Cancelled,
            ];
            fixture.router.record_end(ticket, ends[usize::from(*end)], secs(*now));
        }
        Action::Report { upstream, queued, age } => {
            let age = Duration::from_millis(u64::from(*age));
            let load = LoadReport { queued: u32::from(*queued), age, ..report() };
            fixture.router.apply_report(u32::from(*upstream), &load, secs(*now));
        }
        Action::Leave(index) => {
            let mut fleet = document();
            set_leaving(&mut fleet, usize::from(*index));
            fixture.router.set_candidates(candidates(&fleet, 1), secs(*now));
        }
        Action::Restart(run) => {
            fixture.router.set_candidates(candidates(&document(), *run), secs(*now));
        }
        Action::Sweep => drop(fixture.router.take_overdue(secs(*now))),
        Action::Wait(millis) => *now += f64::from(*millis) / 1e3,
        _ => {}
    }
}

fn send(fixture: &mut Fixture, tickets: &mut Vec<Ticket>, now: f64, workspace: u8, template: u64) {
    let name: Name = format!("workspace-{workspace}").into();
    let service = fixture.service.clone();
    let start = u64::from(workspace) * 1000 + template * 100;
    let prefix: Vec<u64> = (start..start + 20).collect();
    let request = Request {
        service: &service,
        workspace: &name,
        prefix: &prefix,
        prompt_tokens: 20 * 64,
        ..fixture.request().detached()
    };
    let Ok(decision) = fixture.router.choose(&request, moment(now), &mut fixture.rng) else {
        return;
    };
    assert!(decision.scored.iter().any(|s| s.upstream == decision.upstream));
    assert!(decision.cached_tokens <= request.prompt_tokens);
    tickets.push(fixture.router.record_sent(&decision, &request, secs(now)));
}

proptest! {
    #[test]
    fn router_any_actions(actions in prop::collection::vec(action(), 1..150)) {
        let mut fixture = Fixture::new(&document());
        let (mut tickets, mut now) = (Vec::new(), 1.0);
        for action in &actions {
            apply(&mut fixture, &mut tickets, &mut now, action);
        }
        for ticket in tickets {
            fixture.router.record_end(ticket, AttemptOutcome::Cancelled, secs(now));
        }
    }
}
