//! Merges a draft with a document that was published after the draft was started.

use super::codes;
use super::error::PageError;
use crate::fleet::{Change, Document, diff, parse, render};
use indexmap::IndexMap;
use std::fmt::Write;

/// Section with the generation, parent and digest, which differ in every document.
const HEAD_SECTION: &str = "fleet";

type Sections = IndexMap<String, IndexMap<String, String>>;

/// A draft applied to a newer document.
#[derive(Clone, Debug)]
pub(crate) struct Merged {
    /// The newer document with the draft's changes.
    pub(crate) document: Document,
    /// The draft's changes to keys that the newer document changed to other values.
    pub(crate) conflicts: Vec<Change>,
}

/// The differences between two documents, without generation, parent and digest.
pub(crate) fn changes(before: &Document, after: &Document) -> Vec<Change> {
    let mut found = diff(before, after);
    found.retain(|c| c.section != HEAD_SECTION || c.key == "name");
    found
}

/// Applies the changes from `base` to `draft` to `current`.
pub(crate) fn merge(
    base: &Document,
    draft: &Document,
    current: &Document,
) -> Result<Merged, PageError> {
    let mine = changes(base, draft);
    let theirs = changes(base, current);
    let both = |c: &&Change| {
        let same = |t: &&Change| t.section == c.section && t.key == c.key;
        theirs.iter().find(same).is_some_and(|t| t.after != c.after)
    };
    let conflicts = mine.iter().filter(both).cloned().collect();
    let text = render_sections(&apply(parse_sections(&render(current)), &mine));
    let parsed = parse(&text).map_err(|e| PageError::new(codes::DOCUMENT_INVALID, e.to_string()));
    Ok(Merged { document: parsed?, conflicts })
}

fn apply(mut sections: Sections, changes: &[Change]) -> Sections {
    for change in changes {
        let section = sections.entry(change.section.clone()).or_default();
        match &change.after {
            Some(value) => drop(section.insert(change.key.clone(), value.clone())),
            None => drop(section.shift_remove(&change.key)),
        }
    }
    sections.retain(|_, keys| !keys.is_empty());
    // The digest of `current` does not match the merged content.
    sections.entry(HEAD_SECTION.to_owned()).or_default().shift_remove("digest");
    sections
}

fn parse_sections(text: &str) -> Sections {
    let mut sections = Sections::new();
    let mut name = String::new();
    for line in text.lines() {
        if let Some(header) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            header.clone_into(&mut name);
        } else if let Some((key, value)) = line.split_once(" = ") {
            let section = sections.entry(name.clone()).or_default();
            section.insert(key.to_owned(), value.to_owned());
        }
    }
    sections
}

fn render_sections(sections: &Sections) -> String {
    let mut text = String::new();
    for (name, keys) in sections {
        let _ = writeln!(text, "[{name}]");
        for (key, value) in keys {
            let _ = writeln!(text, "{key} = {value}");
        }
    }
    text
}
