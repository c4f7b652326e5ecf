//! The page that shows an error.

use super::layout::{links, page};
use crate::base::code::row;
use crate::console::error::PageError;
use maud::{Markup, html};

/// Renders an error with its result code and meaning.
pub(crate) fn problem(error: &PageError) -> Markup {
    let meaning = row(error.code).map_or("", |r| r.meaning);
    let content = html! {
        p.note.bad role="alert" { strong { (error.code) } " " (meaning) }
        @for line in error.detail.lines() { p.mono { (line) } }
        p { a href="/" { "Back to the fleet" } }
    };
    page("That did not work", &links(), &content)
}
