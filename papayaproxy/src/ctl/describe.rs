//! Formats the differences between two fleet documents as text.

use crate::fleet::Change;
use std::fmt::Write;

/// Formats changes, one per line, grouped under the headings of their sections.
pub fn describe(changes: &[Change]) -> String {
    let mut text = String::new();
    let mut section = None;
    for change in changes {
        if section != Some(&change.section) {
            section = Some(&change.section);
            let _ = writeln!(text, "[{}]", change.section);
        }
        let key = &change.key;
        let _ = match (&change.before, &change.after) {
            (Some(old), Some(new)) => writeln!(text, "  ~ {key} = {old} -> {new}"),
            (None, Some(new)) => writeln!(text, "  + {key} = {new}"),
            (Some(old), None) => writeln!(text, "  - {key} = {old}"),
            (None, None) => Ok(()),
        };
    }
    text
}
