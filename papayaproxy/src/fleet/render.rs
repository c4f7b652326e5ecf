//! Renders a fleet document as canonical text.

use super::document::{Document, Group, Kind, Model, Service, Upstream, Workspace};
use super::value;
use crate::base::digest::Digest;
use crate::base::name::Name;
use std::fmt::Write;

/// Header of the section that holds all workspaces.
pub(crate) const WORKSPACES_HEADER: &str = "[workspaces]\n";

/// Renders the canonical text: items sorted by name, defaults omitted.
///
/// The digest line is computed from the content; `document.digest` is ignored.
pub fn render(document: &Document) -> String {
    compose(document, Some(digest_of(document)))
}

/// Digest of the canonical text without its digest line.
pub fn digest_of(document: &Document) -> Digest {
    Digest::of(compose(document, None).as_bytes())
}

/// Digest of a workspace credential, as stored in the document.
pub fn credential_digest(credential: &str) -> Digest {
    Digest::of(credential.as_bytes())
}

fn compose(document: &Document, digest: Option<Digest>) -> String {
    let mut text = head(document, digest);
    text += &middle(document);
    for (name, upstream) in sorted(&document.upstreams) {
        text += &upstream_section(name, upstream);
    }
    if !document.workspaces.is_empty() {
        text += WORKSPACES_HEADER;
    }
    for (name, workspace) in sorted(&document.workspaces) {
        text += &workspace_line(name, workspace);
    }
    text
}

/// The items of a map, sorted by name.
pub(crate) fn sorted<T>(map: &indexmap::IndexMap<Name, T>) -> Vec<(&Name, &T)> {
    let mut items: Vec<_> = map.iter().collect();
    items.sort_by(|a, b| a.0.cmp(b.0));
    items
}

/// The `[fleet]` section; the digest line is omitted for `None`.
pub(crate) fn head(document: &Document, digest: Option<Digest>) -> String {
    let mut text = String::from("[fleet]\n");
    line(&mut text, "name", &document.fleet);
    line(&mut text, "generation", document.generation);
    line(&mut text, "parent", document.parent);
    if let Some(digest) = digest {
        line(&mut text, "digest", digest);
    }
    text + "\n"
}

/// The sections of zones, models, services and groups.
pub(crate) fn middle(document: &Document) -> String {
    let mut text = String::new();
    for (name, zone) in sorted(&document.zones) {
        let _ = writeln!(text, "[zone.{name}]\nregion = {}\n", zone.region);
    }
    for (name, model) in sorted(&document.models) {
        text += &model_section(name, model);
    }
    for (name, service) in sorted(&document.services) {
        text += &service_section(name, service);
    }
    for (name, group) in sorted(&document.groups) {
        text += &group_section(name, group);
    }
    text
}

fn model_section(name: &Name, model: &Model) -> String {
    let mut text = format!("[model.{name}]\n");
    line(&mut text, "version", model.version);
    list(&mut text, "adapters", &model.adapters);
    text + "\n"
}

fn service_section(name: &Name, service: &Service) -> String {
    let mut text = format!("[service.{name}]\n");
    if let Kind::Model(model) = &service.kind {
        line(&mut text, "model", model);
    }
    line(&mut text, "idempotent", value::flag(service.idempotent));
    line(&mut text, "deadline", humantime::format_duration(service.deadline));
    text + "\n"
}

fn group_section(name: &Name, group: &Group) -> String {
    let mut text = format!("[group.{name}]\n");
    line(&mut text, "model", &group.model);
    list(&mut text, "ranks", &group.ranks);
    line(&mut text, "layers", group.layers);
    line(&mut text, "experts", group.experts);
    line(&mut text, "slots", group.slots);
    line(&mut text, "skew-weight", group.skew_weight);
    line(&mut text, "move-weight", group.move_weight);
    text + "\n"
}

/// The section of one upstream.
pub(crate) fn upstream_section(name: &Name, upstream: &Upstream) -> String {
    let mut text = format!("[upstream.{name}]\n");
    line(&mut text, "zone", &upstream.zone);
    line(&mut text, "agent", upstream.agent);
    list(&mut text, "services", &upstream.services);
    if upstream.role != Default::default() {
        line(&mut text, "role", value::role(upstream.role));
    }
    if !upstream.open {
        line(&mut text, "open", value::flag(upstream.open));
    }
    if upstream.fencing != Default::default() {
        line(&mut text, "fencing", value::fencing(upstream.fencing));
    }
    if let Some(leave) = upstream.leaves {
        line(&mut text, "leave-from", humantime::format_rfc3339(leave.from));
        line(&mut text, "leave-until", humantime::format_rfc3339(leave.until));
    }
    text + "\n"
}

/// The line of one workspace.
pub(crate) fn workspace_line(name: &Name, workspace: &Workspace) -> String {
    format!("{name} = {} {}\n", workspace.share, workspace.credential)
}

fn line(text: &mut String, key: &str, value: impl std::fmt::Display) {
    // Writing to a `String` is infallible.
    let _ = writeln!(text, "{key} = {value}");
}

fn list(text: &mut String, key: &str, names: &[Name]) {
    if !names.is_empty() {
        line(text, key, names.join(", "));
    }
}
