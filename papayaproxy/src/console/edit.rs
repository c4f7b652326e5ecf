//! Applies submitted forms to a document.

use super::constants::CREDENTIAL_BYTES_MIN;
use super::error::PageError;
use super::form::Form;
use crate::base::name::Name;
use crate::fleet::{Document, Fencing, Leave, Role, Upstream, Workspace, credential_digest};
use std::time::SystemTime;

/// Suffix for the dates of forms, which have no time zone and are in UTC.
const UTC_SUFFIX: &str = "Z";

/// Sets the planned stops of all upstreams.
pub(crate) fn edit_cleaning(document: &mut Document, form: &Form) -> Result<(), PageError> {
    for (name, upstream) in &mut document.upstreams {
        let (from, until) = (format!("from.{name}"), format!("until.{name}"));
        let (from, until) = (date(form, &from)?, date(form, &until)?);
        upstream.leaves = match (from, until) {
            (Some(from), Some(until)) => Some(Leave { from, until }),
            (None, None) => None,
            _ => {
                let field = format!("from.{name}");
                return Err(PageError::field(&field, "both a start and an end, or neither"));
            }
        };
    }
    Ok(())
}

/// Reads a date field; `None` if it is empty.
pub(crate) fn date(form: &Form, key: &str) -> Result<Option<SystemTime>, PageError> {
    let text = form.text(key);
    if text.is_empty() {
        return Ok(None);
    }
    let expected = "a date and time in UTC, such as 2026-12-07T06:00";
    let zoned = format!("{}{UTC_SUFFIX}", text.trim_end_matches(UTC_SUFFIX));
    // Browsers omit seconds that are zero.
    let full = match zoned.matches(':').count() {
        1 => zoned.replace(UTC_SUFFIX, ":00Z"),
        _ => zoned,
    };
    let parsed = humantime::parse_rfc3339(&full);
    parsed.map(Some).map_err(|_| PageError::field(key, expected))
}

/// Adds, changes or removes an upstream.
pub(crate) fn edit_upstream(document: &mut Document, form: &Form) -> Result<(), PageError> {
    let name = form.name("name")?;
    if form.is_checked("remove") {
        let removed = document.upstreams.shift_remove(&name);
        let missing = || PageError::field("name", "an upstream of the document");
        return removed.map(drop).ok_or_else(missing);
    }
    let agent = form.value("agent", |text| {
        text.parse().map_err(|_| "an IP address and port, such as 10.0.0.1:7301".to_owned())
    })?;
    let services: Vec<Name> = form.all("services").iter().map(Name::from).collect();
    let known = document.upstreams.get(&name);
    let upstream = Upstream {
        zone: form.name("zone")?,
        agent,
        services,
        role: form.value("role", parse_role)?,
        open: form.is_checked("open"),
        leaves: known.and_then(|u| u.leaves),
        fencing: if form.is_checked("fencing") { Fencing::Checked } else { Fencing::Ignored },
    };
    document.upstreams.insert(name, upstream);
    Ok(())
}

fn parse_role(text: &str) -> Result<Role, String> {
    match text {
        "mixed" => Ok(Role::Mixed),
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        _ => Err("'mixed', 'prefill' or 'decode'".to_owned()),
    }
}

/// Adds, changes or removes a workspace. An empty credential keeps the existing one.
pub(crate) fn edit_workspace(document: &mut Document, form: &Form) -> Result<(), PageError> {
    let name = form.name("name")?;
    if form.is_checked("remove") {
        let removed = document.workspaces.shift_remove(&name);
        let missing = || PageError::field("name", "a workspace of the document");
        return removed.map(drop).ok_or_else(missing);
    }
    let share = form.value("share", |t| t.parse().map_err(|_| "a whole number".to_owned()))?;
    let text = form.raw("credential");
    let known = document.workspaces.get(&name).map(|w| w.credential);
    let credential = match known {
        Some(known) if text.is_empty() => known,
        _ if text.len() >= CREDENTIAL_BYTES_MIN => credential_digest(text),
        _ => {
            let expected = format!("a credential of at least {CREDENTIAL_BYTES_MIN} characters");
            return Err(PageError::field("credential", &expected));
        }
    };
    document.workspaces.insert(name, Workspace { credential, share });
    Ok(())
}

/// Sets the placement weights of all groups.
pub(crate) fn edit_weights(document: &mut Document, form: &Form) -> Result<(), PageError> {
    for (name, group) in &mut document.groups {
        group.skew_weight = form.value(&format!("skew.{name}"), parse_weight)?;
        group.move_weight = form.value(&format!("move.{name}"), parse_weight)?;
    }
    Ok(())
}

fn parse_weight(text: &str) -> Result<f64, String> {
    let weight = text.parse().ok().filter(|w: &f64| w.is_finite() && *w >= 0.0);
    weight.ok_or_else(|| "a number of at least 0".to_owned())
}
