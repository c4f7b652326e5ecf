//! Pages that list and edit workspaces.

use super::Context;
use super::layout::{hidden, navigation, page};
use crate::base::name::Name;
use crate::console::constants::{CREDENTIAL_BYTES_MIN, PAGE_ROWS};
use crate::fleet::Workspace;
use maud::{Markup, html};

/// The list of workspaces whose name contains `find`, from row `skip`, and the form for a new one.
pub(crate) fn list(context: &Context<'_>, find: &str, skip: usize) -> Markup {
    let all = &context.draft.document.workspaces;
    let fitting: Vec<_> = all.iter().filter(|(n, _)| n.contains(find)).collect();
    let shown = fitting.iter().skip(skip).take(PAGE_ROWS);
    let content = html! {
        form method="post" action="/continue" {
            (hidden(context))
            input type="hidden" name="to" value="/workspaces";
            label for="find" { "Name contains" }
            input id="find" name="find" value=(find) maxlength="64";
            button type="submit" { "Find" }
            p { (fitting.len()) " of " (all.len()) " workspaces" }
            div.scroll { table.cards {
                thead { tr { th { "Workspace" } th { "Share" } } }
                tbody { @for (name, workspace) in shown { tr {
                    td data-label="Workspace" { button.link type="submit" name="item" value=(name) { (name) } }
                    td data-label="Share" { (workspace.share) }
                } } }
            } }
            @if skip > 0 {
                button type="submit" name="skip" value=(skip.saturating_sub(PAGE_ROWS)) { "Previous" }
            }
            @if skip + PAGE_ROWS < fitting.len() {
                button type="submit" name="skip" value=(skip + PAGE_ROWS) { "Next" }
            }
        }
        h2 { "Add a workspace" }
        (form(context, None))
    };
    page("Workspaces", &navigation(context), &content)
}

/// The form for an existing workspace.
pub(crate) fn item(context: &Context<'_>, name: &Name, workspace: &Workspace) -> Markup {
    let content = form(context, Some((name, workspace)));
    page(&format!("Workspace {name}"), &navigation(context), &content)
}

fn form(context: &Context<'_>, known: Option<(&Name, &Workspace)>) -> Markup {
    let share = known.map_or(1, |(_, w)| w.share);
    html! {
        form method="post" action="/workspaces" autocomplete="off" {
            (hidden(context))
            label for="name" { "Name" }
            input id="name" name="name" required maxlength="64" pattern="[a-z0-9][a-z0-9._\\-]*"
                value=(known.map_or("", |(n, _)| n.as_str())) readonly[known.is_some()];
            label for="share" { "Share under contention" }
            input id="share" name="share" type="number" min="1" required value=(share);
            label for="credential" { "Credential" }
            input id="credential" name="credential" type="password" autocomplete="new-password"
                minlength=(CREDENTIAL_BYTES_MIN) required[known.is_none()];
            p.hint {
                "At least " (CREDENTIAL_BYTES_MIN) " characters. The document holds its digest only."
                @if known.is_some() { " Leave it empty to keep the present one." }
            }
            @if known.is_some() {
                label.box { input type="checkbox" name="remove" value="yes"; " Remove it: its calls are refused" }
            }
            button type="submit" { "Preview" }
        }
    }
}
