//! Tests of drafts, merges, effects and proposed stops.

use super::{SAMPLES, next, sample};
use crate::console::draft::Draft;
use crate::console::effects::effects;
use crate::console::merge::{changes, merge};
use crate::console::plan::propose;
use crate::fleet::{Leave, parse};
use crate::telemetry::Status;
use rstest::rstest;
use std::time::{Duration, SystemTime};

const HOUR: Duration = Duration::from_secs(3600);

fn monday() -> SystemTime {
    humantime::parse_rfc3339("2026-12-07T06:00:00Z").unwrap()
}

#[rstest]
#[case::kellerbund(0)]
#[case::luto(1)]
fn propose_valid_week(#[case] fleet: usize) {
    let current = parse(SAMPLES[fleet]).unwrap();
    let plan = propose(&current, monday(), 2 * HOUR);
    let open = current.upstreams.values().filter(|u| u.open).count();
    assert_eq!(plan.len(), open, "each open upstream leaves once");
    let mut stops: Vec<&Leave> = plan.values().collect();
    stops.sort_by_key(|l| l.from);
    assert!(stops.windows(2).all(|w| w[0].until <= w[1].from), "stops overlap");
    let end = monday() + 7 * 24 * HOUR;
    assert!(stops.iter().all(|l| l.from >= monday() && l.until <= end));
    let mut draft = Draft::new(&current);
    for (name, leave) in plan {
        draft.document.upstreams[&name].leaves = Some(leave);
    }
    let sealed = draft.seal(&current).unwrap();
    assert_eq!((sealed.generation, sealed.parent), (current.generation + 1, current.digest));
}

#[test]
fn merge_both_changes() {
    let base = sample();
    let (first, second) =
        (base.upstreams.keys().next().unwrap(), base.workspaces.keys().next().unwrap());
    let draft = next(&base, |d| d.upstreams[first].open = false);
    let current = next(&base, |d| d.workspaces[second].share += 5);
    let merged = merge(&base, &draft, &current).unwrap();
    assert!(merged.conflicts.is_empty());
    assert!(!merged.document.upstreams[first].open);
    assert_eq!(merged.document.workspaces[second], current.workspaces[second]);
    assert_eq!(changes(&current, &merged.document).len(), 1);
}

#[test]
fn merge_conflict_reported() {
    let base = sample();
    let group = base.workspaces.keys().next().unwrap();
    let draft = next(&base, |d| d.workspaces[group].share += 1);
    let current = next(&base, |d| d.workspaces[group].share += 5);
    let merged = merge(&base, &draft, &current).unwrap();
    assert_eq!(merged.conflicts.len(), 1);
    assert_eq!(merged.conflicts[0].key, group.as_str());
    assert_eq!(merged.document.workspaces[group], draft.workspaces[group]);
}

#[test]
fn merge_removed_section() {
    let base = sample();
    let is_rank = |name: &crate::Name| base.groups.values().any(|g| g.ranks.contains(name));
    let name = base.upstreams.keys().find(|n| !is_rank(n)).unwrap().clone();
    let workspace = base.workspaces.keys().next().unwrap();
    let draft = next(&base, |d| drop(d.upstreams.shift_remove(&name)));
    let current = next(&base, |d| d.workspaces[workspace].share += 5);
    let merged = merge(&base, &draft, &current).unwrap();
    assert!(!merged.document.upstreams.contains_key(&name));
}

#[rstest]
#[case::none(0, "no call in progress")]
#[case::one(1, "Its 1 call in progress now")]
#[case::some(3, "Its 3 calls in progress now")]
fn effects_leaving(#[case] calls: u64, #[case] expected: &str) {
    let before = sample();
    let name = before.upstreams.keys().next().unwrap().clone();
    let leave = Leave { from: monday(), until: monday() + 2 * HOUR };
    let after = next(&before, |d| d.upstreams[&name].leaves = Some(leave));
    let status =
        Status { name: name.to_string(), role: "agent".into(), calls, ..Status::default() };
    let found = effects(&before, &after, &[&status]).join("\n");
    assert!(found.contains(expected) && found.contains("2026-12-07T06:00:00Z"), "{found}");
}

#[test]
fn effects_every_kind() {
    let before = sample();
    let is_rank = |name: &crate::Name| before.groups.values().any(|g| g.ranks.contains(name));
    let mut names = before.upstreams.keys().filter(|n| !is_rank(n)).cloned();
    let (closed, removed) = (names.next().unwrap(), names.next().unwrap());
    let workspaces: Vec<_> = before.workspaces.keys().cloned().collect();
    let after = next(&before, |d| {
        d.upstreams[&closed].open = false;
        d.upstreams.shift_remove(&removed);
        d.workspaces[&workspaces[0]].share += 1;
        d.workspaces.shift_remove(&workspaces[1]);
        d.groups.values_mut().for_each(|g| g.move_weight *= 2.0);
    });
    let found = effects(&before, &after, &[]).join("\n");
    let due = [
        format!("Upstream {closed} is closed"),
        format!("Upstream {removed} is removed"),
        format!("Workspace {} gets", workspaces[0]),
        format!("Workspace {} is removed", workspaces[1]),
    ];
    for text in due {
        assert!(found.contains(&text), "'{text}' is missing in\n{found}");
    }
}
