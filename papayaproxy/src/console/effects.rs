//! Describes the effects of a change on traffic.

use crate::base::name::Name;
use crate::fleet::{Document, Leave, Upstream};
use crate::telemetry::Status;
use humantime::format_rfc3339_seconds;
use std::time::SystemTime;

/// Describes how traffic changes when `after` replaces `before`, one sentence per effect.
pub(crate) fn effects(before: &Document, after: &Document, statuses: &[&Status]) -> Vec<String> {
    let mut found = Vec::new();
    for (name, upstream) in &after.upstreams {
        found.extend(upstream_effects(name, before.upstreams.get(name), upstream, statuses));
    }
    for name in before.upstreams.keys().filter(|n| !after.upstreams.contains_key(*n)) {
        let calls = calls_text(name, statuses);
        found.push(format!("Upstream {name} is removed: no new work. {calls}"));
    }
    found.extend(service_effects(before, after));
    found.extend(workspace_effects(before, after));
    found.extend(group_effects(before, after));
    found
}

fn upstream_effects(
    name: &Name,
    before: Option<&Upstream>,
    after: &Upstream,
    statuses: &[&Status],
) -> Vec<String> {
    let Some(before) = before else {
        let services = after.services.join(", ");
        let text = format!("Upstream {name} is new in zone {}: it offers {services}.", after.zone);
        return vec![text];
    };
    let mut found = Vec::new();
    match (before.leaves == after.leaves, after.leaves) {
        (true, _) => {}
        (false, Some(leave)) => found.push(leave_effect(name, leave, statuses)),
        (false, None) => found.push(format!("Upstream {name} no longer has a planned stop.")),
    }
    if before.open && !after.open {
        let calls = calls_text(name, statuses);
        found.push(format!("Upstream {name} is closed: no new work. {calls}"));
    }
    if !before.open && after.open {
        found.push(format!("Upstream {name} is opened: it takes new work."));
    }
    if before.agent != after.agent || before.zone != after.zone {
        let text = "calls in progress end at the old location, new ones go to the new location";
        found.push(format!(
            "Upstream {name} moves to {} in zone {}: {text}.",
            after.agent, after.zone
        ));
    }
    for service in before.services.iter().filter(|s| !after.services.contains(s)) {
        found.push(format!("Upstream {name} no longer offers {service}."));
    }
    found
}

fn leave_effect(name: &Name, leave: Leave, statuses: &[&Status]) -> String {
    let (from, until) = (format_rfc3339_seconds(leave.from), format_rfc3339_seconds(leave.until));
    let calls = calls_text(name, statuses);
    format!("Upstream {name} takes no new work from {from} until {until}. {calls}")
}

/// Describes what happens to the calls in progress at the upstream's agent.
fn calls_text(name: &Name, statuses: &[&Status]) -> String {
    let agent = statuses.iter().find(|s| s.role == "agent" && s.name == name.as_str());
    match agent.map(|s| s.calls) {
        Some(0) => "It has no call in progress now.".to_owned(),
        Some(1) => "Its 1 call in progress now completes or moves.".to_owned(),
        Some(calls) => {
            format!("Its {calls} calls in progress now complete or move.")
        }
        None => "Its agent does not report its calls in progress.".to_owned(),
    }
}

/// Reports each service whose lowest number of available upstreams at any time changes.
fn service_effects(before: &Document, after: &Document) -> Vec<String> {
    let fewest = |document: &Document, service: &Name| {
        let offering: Vec<&Upstream> =
            document.upstreams.values().filter(|u| u.services.contains(service)).collect();
        let starts = offering.iter().filter_map(|u| u.leaves).map(|l| l.from);
        let times = starts.chain([SystemTime::UNIX_EPOCH]);
        let open = |at| offering.iter().filter(|u| u.takes_work(at)).count();
        times.map(open).min().unwrap_or(0)
    };
    let text = |service: &Name| {
        let (old, new) = (fewest(before, service), fewest(after, service));
        let changed =
            format!("Service {service} has at least {new} upstreams at any time; before {old}.");
        match (old == new, new) {
            (true, _) => None,
            (false, 0) => Some(format!(
                "Service {service} has NO upstream for some time: its calls are refused then."
            )),
            (false, _) => Some(changed),
        }
    };
    after.services.keys().filter_map(text).collect()
}

fn workspace_effects(before: &Document, after: &Document) -> Vec<String> {
    let mut found = Vec::new();
    for (name, workspace) in &after.workspaces {
        let Some(old) = before.workspaces.get(name) else {
            found.push(format!("Workspace {name} may call, with share {}.", workspace.share));
            continue;
        };
        if old.credential != workspace.credential {
            found.push(format!("Workspace {name}: calls with the old credential are refused."));
        }
        if old.share != workspace.share {
            let (part, total) = (workspace.share, total_share(after));
            found.push(format!("Workspace {name} gets {part} of {total} shares under contention."));
        }
    }
    for name in before.workspaces.keys().filter(|n| !after.workspaces.contains_key(*n)) {
        found.push(format!("Workspace {name} is removed: its calls are refused."));
    }
    found
}

fn total_share(document: &Document) -> u64 {
    document.workspaces.values().map(|w| u64::from(w.share)).sum()
}

fn group_effects(before: &Document, after: &Document) -> Vec<String> {
    let mut found = Vec::new();
    for (name, group) in &after.groups {
        let Some(old) = before.groups.get(name) else { continue };
        if (old.skew_weight, old.move_weight) == (group.skew_weight, group.move_weight) {
            continue;
        }
        let ratio = |skew: f64, moves: f64| skew / moves.max(f64::MIN_POSITIVE);
        let favours_balance =
            ratio(group.skew_weight, group.move_weight) > ratio(old.skew_weight, old.move_weight);
        let text =
            if favours_balance { "more moves for less skew" } else { "fewer moves, more skew" };
        found.push(format!("Group {name} now favours {text}; its expert map in force stays."));
    }
    found
}
