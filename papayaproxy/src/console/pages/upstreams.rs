//! Pages that list and edit upstreams.

use super::Context;
use super::layout::{hidden, navigation, page};
use crate::base::name::Name;
use crate::fleet::{Fencing, Role, Upstream};
use maud::{Markup, html};

/// Engine roles with their names in the document.
const ROLES: [(&str, Role); 3] =
    [("mixed", Role::Mixed), ("prefill", Role::Prefill), ("decode", Role::Decode)];

/// The list of upstreams, and the form for a new one.
pub(crate) fn list(context: &Context<'_>) -> Markup {
    let document = &context.draft.document;
    let content = html! {
        form method="post" action="/continue" {
            (hidden(context))
            input type="hidden" name="to" value="/upstreams";
            div.scroll { table.cards {
                thead { tr { th { "Upstream" } th { "Zone" } th { "Agent" } th { "Services" } th { "New work" } } }
                tbody { @for (name, upstream) in &document.upstreams { tr {
                    td data-label="Upstream" { button.link type="submit" name="item" value=(name) { (name) } }
                    td data-label="Zone" { (upstream.zone) }
                    td data-label="Agent" { (upstream.agent) }
                    td data-label="Services" { (upstream.services.join(", ")) }
                    td data-label="New work" { @if upstream.open { "yes" } @else { "no" } }
                } } }
            } }
        }
        h2 { "Add an upstream" }
        (form(context, None))
    };
    page("Upstreams", &navigation(context), &content)
}

/// The form for an existing upstream.
pub(crate) fn item(context: &Context<'_>, name: &Name, upstream: &Upstream) -> Markup {
    let content = form(context, Some((name, upstream)));
    page(&format!("Upstream {name}"), &navigation(context), &content)
}

fn form(context: &Context<'_>, known: Option<(&Name, &Upstream)>) -> Markup {
    let document = &context.draft.document;
    let upstream = known.map(|(_, u)| u);
    let zone = upstream.map(|u| u.zone.as_str());
    let agent = upstream.map(|u| u.agent.to_string()).unwrap_or_default();
    let role = upstream.map_or(Role::Mixed, |u| u.role);
    let offers = |service: &Name| upstream.is_some_and(|u| u.services.contains(service));
    html! {
        form method="post" action="/upstreams" {
            (hidden(context))
            label for="name" { "Name" }
            input id="name" name="name" required maxlength="64" pattern="[a-z0-9][a-z0-9._\\-]*"
                value=(known.map_or("", |(n, _)| n.as_str())) readonly[known.is_some()];
            label for="zone" { "Availability zone" }
            select id="zone" name="zone" { @for name in document.zones.keys() {
                option value=(name) selected[zone == Some(name.as_str())] { (name) }
            } }
            label for="agent" { "Address of its agent" }
            input id="agent" name="agent" required value=(agent) placeholder="10.0.0.1:7301";
            label for="role" { "Engine's role" }
            select id="role" name="role" { @for (word, value) in ROLES {
                option value=(word) selected[role == value] { (word) }
            } }
            fieldset { legend { "Services that it offers" }
                @for name in document.services.keys() {
                    label.box { input type="checkbox" name="services" value=(name) checked[offers(name)]; " " (name) }
                }
            }
            label.box {
                input type="checkbox" name="open" value="yes" checked[upstream.is_none_or(|u| u.open)];
                " It takes new work"
            }
            label.box {
                input type="checkbox" name="fencing" value="yes"
                    checked[upstream.is_some_and(|u| u.fencing == Fencing::Checked)];
                " Its engine checks fencing numbers"
            }
            @if known.is_some() {
                label.box { input type="checkbox" name="remove" value="yes"; " Remove it from the fleet" }
            }
            button type="submit" { "Preview" }
        }
    }
}
