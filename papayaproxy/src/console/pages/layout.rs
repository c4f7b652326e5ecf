//! Frame that all pages share.

use super::Context;
use crate::fleet::render;
use humantime::format_rfc3339_seconds;
use maud::{DOCTYPE, Markup, html};
use std::time::SystemTime;

/// Characters of a date and time as forms write it, without seconds.
const FORM_DATE_CHARS: usize = "2026-12-07T06:00".len();

/// Forms that a change can go on with.
const FORMS: [(&str, &str); 4] = [
    ("/cleaning", "Cleaning"),
    ("/upstreams", "Upstreams"),
    ("/workspaces", "Workspaces"),
    ("/weights", "Weights"),
];

/// A whole page.
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

/// Links to every page. With a change in the making they carry it along.
pub(crate) fn navigation(context: &Context<'_>) -> Markup {
    if !context.draft.is_begun() {
        return links();
    }
    html! {
        p.note.warn { "You have a change that is not published. It lives in this page only." }
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

/// Links to every page, for an operator without a change.
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

/// What each form carries: its mark, the change so far and where that was begun.
pub(crate) fn hidden(context: &Context<'_>) -> Markup {
    let draft = context.draft;
    let text = if draft.is_begun() { render(&draft.document) } else { String::new() };
    html! {
        input type="hidden" name="mark" value=(context.mark);
        input type="hidden" name="base" value=(draft.base);
        input type="hidden" name="draft" value=(text);
    }
}

/// A date as forms take it.
pub(crate) fn form_date(date: SystemTime) -> String {
    let full = format_rfc3339_seconds(date).to_string();
    full.chars().take(FORM_DATE_CHARS).collect()
}
