//! The page that plans a week of stops.

use super::Context;
use super::layout::{form_date, hidden, navigation, page};
use crate::base::name::Name;
use crate::fleet::Leave;
use indexmap::IndexMap;
use maud::{Markup, html};
use std::time::SystemTime;

/// The form with the start and end of each upstream's planned stop.
///
/// `proposal` replaces the values of the draft.
pub(crate) fn cleaning(
    context: &Context<'_>,
    proposal: Option<&IndexMap<Name, Leave>>,
    start: SystemTime,
) -> Markup {
    let content = html! {
        p { "Each upstream takes no new work from its start until its end. Calls in progress are not cut. All times are in UTC." }
        (proposal_form(context, start))
        h2 { "Planned stops" }
        form method="post" action="/cleaning" {
            (hidden(context))
            div.scroll { table.cards {
                thead { tr { th { "Upstream" } th { "Services" } th { "From" } th { "Until" } } }
                tbody { @for (name, upstream) in &context.draft.document.upstreams {
                    (stop_row(name, &upstream.services, proposal.map_or(upstream.leaves, |p| p.get(name).copied())))
                } }
            } }
            button type="submit" { "Preview" }
        }
    };
    page("Plan a cleaning week", &navigation(context), &content)
}

fn proposal_form(context: &Context<'_>, start: SystemTime) -> Markup {
    html! {
        form method="post" action="/propose" {
            (hidden(context))
            label for="start" { "Week begins" }
            input id="start" name="start" type="datetime-local" required value=(form_date(start));
            label for="length" { "Each stop lasts" }
            input id="length" name="length" value="2h" required;
            p.hint { "A duration with its unit, such as 90m or 2h." }
            button type="submit" { "Propose a week for every upstream" }
        }
    }
}

fn stop_row(name: &Name, services: &[Name], leave: Option<Leave>) -> Markup {
    let from = leave.map(|l| form_date(l.from)).unwrap_or_default();
    let until = leave.map(|l| form_date(l.until)).unwrap_or_default();
    html! {
        tr {
            td data-label="Upstream" { (name) }
            td data-label="Services" { (services.join(", ")) }
            td data-label="From" {
                input type="datetime-local" name=(format!("from.{name}")) value=(from)
                    aria-label=(format!("{name} leaves from"));
            }
            td data-label="Until" {
                input type="datetime-local" name=(format!("until.{name}")) value=(until)
                    aria-label=(format!("{name} leaves until"));
            }
        }
    }
}
