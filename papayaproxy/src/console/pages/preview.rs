//! Pages that preview a draft, or explain why it is invalid or its base was replaced.

use super::Context;
use super::layout::{hidden, navigation, page};
use crate::console::codes;
use crate::fleet::{Change, Document, Problem};
use maud::{Markup, html};

/// Preview of a valid draft: its changes, its effects and the download.
pub(crate) fn preview(
    context: &Context<'_>,
    next: &Document,
    changes: &[Change],
    effects: &[String],
    overlaps: &[Change],
) -> Markup {
    let content = html! {
        (conflicts(overlaps))
        @if changes.is_empty() { p.note { "Nothing is changed." } }
        @else {
            h2 { "What changes" }
            (differences(changes))
            h2 { "What it does" }
            @if effects.is_empty() { p { "It moves no calls." } }
            ul { @for effect in effects { li { (effect) } } }
            h2 { "Publish" }
            p {
                "The document becomes generation " strong { (next.generation) } ", made from "
                span.mono { (next.parent) } ". Download it and publish it through the platform: "
                "the console cannot publish."
            }
            form method="post" action="/document" {
                (hidden(context))
                button type="submit" { "Download the document" }
            }
        }
    };
    page("Preview", &navigation(context), &content)
}

/// Page for a draft that is not a valid document.
pub(crate) fn invalid(context: &Context<'_>, changes: &[Change], problems: &[Problem]) -> Markup {
    let content = html! {
        p.note.bad role="alert" {
            strong { (codes::DOCUMENT_INVALID) } " The document would be invalid. Nothing is handed out."
        }
        ul { @for problem in problems { li { (problem) } } }
        p { "Go back in your browser and correct the form." }
        h2 { "What you changed" }
        (differences(changes))
    };
    page("The change does not fit", &navigation(context), &content)
}

/// Page for a draft whose base document is no longer in force.
pub(crate) fn replaced(
    context: &Context<'_>,
    theirs: Option<&[Change]>,
    mine: Option<&[Change]>,
    merges: bool,
) -> Markup {
    let content = html! {
        p.note.bad role="alert" {
            strong { (codes::PARENT_REPLACED) } " Since you began, another document came into force: generation "
            (context.current.generation) ", digest " span.mono { (context.current.digest) }
            ". Yours was made from " span.mono { (context.draft.base) } " and cannot be published."
        }
        h2 { "What changed meanwhile" }
        @match theirs {
            Some(changes) => (differences(changes)),
            None => p { "The console has not seen the document that you began from, so it cannot show the differences." },
        }
        h2 { "What you changed" }
        @match mine {
            Some(changes) => (differences(changes)),
            None => p { "See above." },
        }
        @if merges {
            form method="post" action="/merge" {
                (hidden(context))
                button type="submit" { "Make my change on the document now in force" }
            }
        }
        p { a href="/" { "Discard my change" } }
    };
    page("Another change came first", &navigation(context), &content)
}

/// Lists the keys that both a merged draft and the newer document changed.
fn conflicts(changes: &[Change]) -> Markup {
    html! {
        @if !changes.is_empty() {
            p.note.warn role="alert" { "Both changes touch these keys. Yours is taken; check each one." }
            (differences(changes))
        }
    }
}

fn differences(changes: &[Change]) -> Markup {
    html! {
        div.scroll { table.cards {
            thead { tr { th { "Section" } th { "Key" } th { "Before" } th { "After" } } }
            tbody { @for change in changes { tr {
                td data-label="Section" { (change.section) }
                td data-label="Key" { (change.key) }
                td data-label="Before" { span.mono.old { (change.before.as_deref().unwrap_or("")) } }
                td data-label="After" { span.mono { (change.after.as_deref().unwrap_or("")) } }
            } } }
        } }
    }
}
