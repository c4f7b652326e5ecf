//! The document of the run, one generation after the other.

use super::plan::Plan;
use papayaproxy::fleet::{Document, credential_digest, parse, render};
use std::fmt::Write;
use std::net::SocketAddr;

/// Name of a zone.
pub(crate) fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// Name of the `place`-th process of a zone; entries come first.
pub(crate) fn process_name(plan: &Plan, zone: usize, place: usize) -> String {
    if place < plan.entries {
        return format!("entry-{zone}-{place}");
    }
    format!("upstream-{zone}-{}", place - plan.entries)
}

/// Address of the `place`-th process of a zone.
pub(crate) fn address(plan: &Plan, zone: usize, place: usize) -> SocketAddr {
    let number = zone * (plan.entries + plan.agents) + place;
    SocketAddr::from(([127, 0, 0, 1], plan.port + number as u16))
}

/// The first document.
pub(crate) fn first(plan: &Plan) -> Document {
    let mut text = String::from("[fleet]\nname = spread\ngeneration = 1\n");
    for zone in 0..plan.zones {
        let _ = writeln!(text, "[zone.{}]\nregion = loopback", zone_name(zone));
    }
    text += "[service.ledger]\nidempotent = no\n";
    for zone in 0..plan.zones {
        for place in plan.entries..plan.entries + plan.agents {
            let name = process_name(plan, zone, place);
            let agent = address(plan, zone, place);
            let _ = writeln!(text, "[upstream.{name}]\nzone = {}", zone_name(zone));
            let _ = writeln!(text, "agent = {agent}\nservices = ledger");
        }
    }
    text += "[workspaces]\n";
    for number in 0..plan.workspaces {
        let digest = credential_digest(&format!("workspace {number}"));
        let _ = writeln!(text, "workspace-{number} = 100 {digest}");
    }
    parse(&text).unwrap_or_else(|e| panic!("the run's document is invalid: {e}"))
}

/// The document after `before`: another share for one workspace.
pub(crate) fn next(before: &Document) -> Document {
    let mut after = before.clone();
    after.generation += 1;
    after.parent = before.digest;
    let count = after.workspaces.len().max(1);
    let place = after.generation as usize % count;
    if let Some((_, workspace)) = after.workspaces.get_index_mut(place) {
        workspace.share = 1 + (after.generation % 1000) as u32;
    }
    after.sealed()
}

/// The text that is published.
pub(crate) fn text(document: &Document) -> String {
    render(document)
}
