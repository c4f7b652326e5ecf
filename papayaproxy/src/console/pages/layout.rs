//! The layout of all pages.

use super::Context;
use crate::fleet::render;
use humantime::format_rfc3339_seconds;
use maud::{DOCTYPE, Markup, html};
use std::time::SystemTime;

/// Length of a date and time in a form, without seconds, in characters.
const FORM_DATE_CHARS: usize = "2026-12-07T06:00".len();

/// Pages that edit a draft, with their titles in the navigation.
const FORMS: [(&str, &str); 4] = [
    ("/cleaning", "Cleaning"),
    ("/upstreams", "Upstreams"),
    ("/workspaces", "Workspaces"),
    ("/weights", "Weights"),
];

/// A complete page.
pub(crate) fn page(title: &str, navigation: &Markup, content: &Markup) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (title) " · papaya-console" }
                link rel="stylesheet" href="/style.css";
            }
            body {
                a.skip href="#main" { "Skip to content" }
                nav aria-label="Pages" { (navigation) }
                main id="main" tabindex="-1" {
                    h1 { (title) }
                    (content)
                }
            }
        }
    }
}

/// Navigation to all pages; buttons that submit the draft if there are changes.
pub(crate) fn navigation(context: &Context<'_>) -> Markup {
    if !context.draft.is_changed() {
        return links();
    }
    html! {
        p.note.warn { "You have an unpublished change. It is kept in this page only." }
        form method="post" action="/continue" {
            (hidden(context))
            ul {
                li { a href="/" { "Discard it: fleet in force" } }
                @for (path, name) in FORMS {
                    li { button.link type="submit" name="to" value=(path) { (name) } }
                }
                li { button.link type="submit" name="to" value="/preview" { "Preview" } }
            }
        }
    }
}

/// Links to all pages, without a draft.
pub(crate) fn links() -> Markup {
    html! {
        ul {
            li { a href="/" { "Fleet" } }
            @for (path, name) in FORMS {
                li { a href=(path) { (name) } }
            }
        }
    }
}

/// Hidden fields of every form: its token, the digest of the base document and the draft.
pub(crate) fn hidden(context: &Context<'_>) -> Markup {
    let draft = context.draft;
    let text = if draft.is_changed() { render(&draft.document) } else { String::new() };
    html! {
        input type="hidden" name="mark" value=(context.token);
        input type="hidden" name="base" value=(draft.base);
        input type="hidden" name="draft" value=(text);
    }
}

/// Formats a date for an input of type `datetime-local`.
pub(crate) fn form_date(date: SystemTime) -> String {
    let full = format_rfc3339_seconds(date).to_string();
    full.chars().take(FORM_DATE_CHARS).collect()
}
