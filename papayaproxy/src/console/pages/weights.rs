//! The page that edits the placement weights of groups.

use super::Context;
use super::layout::{hidden, navigation, page};
use maud::{Markup, html};

/// The form with the skew weight and move weight of each group.
pub(crate) fn weights(context: &Context<'_>) -> Markup {
    let groups = &context.draft.document.groups;
    let content = html! {
        p { "A larger skew weight evens out step times by more moves of experts; a larger move weight keeps experts where they are." }
        @if groups.is_empty() { p { "The fleet has no lock-step group." } }
        @else { form method="post" action="/weights" {
            (hidden(context))
            @for (name, group) in groups { fieldset {
                legend { "Group " (name) ", model " (group.model) ", " (group.ranks.len()) " ranks" }
                label for=(format!("skew.{name}")) { "Weight of skew" }
                input id=(format!("skew.{name}")) name=(format!("skew.{name}")) inputmode="decimal" required
                    value=(group.skew_weight);
                label for=(format!("move.{name}")) { "Weight of moves" }
                input id=(format!("move.{name}")) name=(format!("move.{name}")) inputmode="decimal" required
                    value=(group.move_weight);
            } }
            button type="submit" { "Preview" }
        } }
    };
    page("Weights of placement", &navigation(context), &content)
}
