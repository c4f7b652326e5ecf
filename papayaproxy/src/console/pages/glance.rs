//! The overview of the fleet.

use super::Context;
use super::layout::{navigation, page};
use crate::base::name::Name;
use crate::ctl::Survey;
use crate::ctl::status::state_label;
use crate::fleet::{Document, Upstream};
use crate::telemetry::Status;
use humantime::format_rfc3339_seconds;
use maud::{Markup, html};
use std::time::SystemTime;

/// The first page: the document in force, zones, planned stops and processes.
pub(crate) fn overview(context: &Context<'_>, survey: &Survey, now: SystemTime) -> Markup {
    let document = context.current;
    let content = html! {
        p {
            "Fleet " strong { (document.fleet) } ", generation " strong { (document.generation) }
            " as published, digest " span.mono { (document.digest) } "."
        }
        (rollout_status(document, survey))
        h2 { "Availability zones" }
        (zones(document, survey, now))
        h2 { "Planned stops" }
        (stops(document, now))
        h2 { "Processes" }
        (processes(document, survey))
    };
    page("Fleet", &navigation(context), &content)
}

/// Reports whether every process has the published document in force.
fn rollout_status(document: &Document, survey: &Survey) -> Markup {
    let total = survey.answers.len();
    let silent = survey.answers.iter().filter(|a| a.status.is_err()).count();
    let behind = survey.statuses().filter(|s| s.generation < document.generation).count();
    let ahead = survey.statuses().filter(|s| s.generation > document.generation).count();
    let conflicting = survey.statuses().filter(|s| has_other_digest(document, s)).count();
    html! {
        @if total == 0 {
            p.note.warn { "No processes are listed in the console's settings." }
        } @else if silent + behind + ahead + conflicting == 0 {
            p.note { "In force on all " (total) " processes." }
        }
        @if behind > 0 { p.note.warn { "Processes that do not have it in force yet: " (behind) "." } }
        @if ahead > 0 {
            p.note.bad role="alert" {
                "Processes with a newer document than the platform serves: " (ahead)
                ". Do not publish until the platform has caught up."
            }
        }
        @if conflicting > 0 {
            p.note.bad role="alert" {
                "Processes with another document of this generation: " (conflicting)
                ". Two operators published at once; publish a document with a higher generation."
            }
        }
        @if silent > 0 { p.note.warn { "Processes that did not answer: " (silent) "." } }
    }
}

fn has_other_digest(document: &Document, status: &Status) -> bool {
    status.generation == document.generation && status.digest != document.digest.to_string()
}

fn zones(document: &Document, survey: &Survey, now: SystemTime) -> Markup {
    let count = |zone: &Name, fits: &dyn Fn(&Upstream) -> bool| {
        document.upstreams.values().filter(|u| u.zone == *zone && fits(u)).count()
    };
    let processes = |zone: &Name, role: &str| {
        let all = survey.statuses().filter(|s| s.zone == zone.as_str() && s.role == role);
        let list: Vec<&Status> = all.collect();
        let ready = list.iter().filter(|s| s.ready).count();
        format!("{ready} of {} ready", list.len())
    };
    html! {
        div.scroll { table.cards {
            thead { tr {
                th { "Zone" } th { "Upstreams" } th { "Take work" } th { "Leaving now" }
                th { "Entries" } th { "Agents" }
            } }
            tbody { @for name in document.zones.keys() { tr {
                td data-label="Zone" { (name) }
                td data-label="Upstreams" { (count(name, &|_| true)) }
                td data-label="Take work" { (count(name, &|u| u.takes_work(now))) }
                td data-label="Leaving now" { (count(name, &|u| u.open && !u.takes_work(now))) }
                td data-label="Entries" { (processes(name, "entry")) }
                td data-label="Agents" { (processes(name, "agent")) }
            } } }
        } }
    }
}

fn stops(document: &Document, now: SystemTime) -> Markup {
    let planned = document.upstreams.iter().filter_map(|(n, u)| Some((n, u, u.leaves?)));
    let mut planned: Vec<_> = planned.filter(|(_, _, l)| l.until > now).collect();
    planned.sort_by_key(|(_, _, l)| l.from);
    html! {
        @if planned.is_empty() {
            p { "None. " a href="/cleaning" { "Plan a cleaning week" } }
        } @else {
            div.scroll { table.cards {
                thead { tr { th { "Upstream" } th { "Zone" } th { "From" } th { "Until" } th { "State" } } }
                tbody { @for (name, upstream, leave) in planned { tr {
                    td data-label="Upstream" { (name) }
                    td data-label="Zone" { (upstream.zone) }
                    td data-label="From" { (format_rfc3339_seconds(leave.from)) }
                    td data-label="Until" { (format_rfc3339_seconds(leave.until)) }
                    td data-label="State" { @if leave.from <= now { "leaving" } @else { "planned" } }
                } } }
            } }
        }
    }
}

fn processes(document: &Document, survey: &Survey) -> Markup {
    html! {
        div.scroll { table.cards {
            thead { tr {
                th { "Process" } th { "Role" } th { "Zone" } th { "Generation in force" }
                th { "Confirmed" } th { "Calls" } th { "State" }
            } }
            tbody { @for answer in &survey.answers {
                @match &answer.status {
                    Ok(status) => (process_row(document, status)),
                    Err(error) => tr {
                        td data-label="Process" { (answer.address) }
                        td data-label="State" colspan="6" { (error) }
                    },
                }
            } }
        } }
    }
}

fn process_row(document: &Document, status: &Status) -> Markup {
    let differs = status.generation != document.generation || has_other_digest(document, status);
    html! {
        tr {
            td data-label="Process" { (status.name) }
            td data-label="Role" { (status.role) }
            td data-label="Zone" { (status.zone) }
            td data-label="Generation in force" {
                (status.generation)
                @if differs { " (differs)" }
            }
            td data-label="Confirmed" { (format!("{:.0} s ago", status.document_age)) }
            td data-label="Calls" { (status.calls) }
            td data-label="State" { (state_label(status)) }
        }
    }
}
