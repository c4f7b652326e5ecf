//! Brings one operator's change onto a document that another has published meanwhile.

use super::codes;
use super::error::PageError;
use crate::fleet::{Change, Document, diff, parse, render};
use indexmap::IndexMap;
use std::fmt::Write;

/// The section whose keys every new document sets by itself.
const HEAD_SECTION: &str = "fleet";

type Sections = IndexMap<String, IndexMap<String, String>>;

/// A change on a newer document.
#[derive(Clone, Debug)]
pub(crate) struct Merged {
    /// The newer document with the change.
    pub(crate) document: Document,
    /// Keys that both have changed, as the change would set them over the newer document.
    pub(crate) conflicts: Vec<Change>,
}

/// What differs, without the keys that number a document.
pub(crate) fn changes(before: &Document, after: &Document) -> Vec<Change> {
    let mut found = diff(before, after);
    found.retain(|c| c.section != HEAD_SECTION || c.key == "name");
    found
}

/// Repeats on `current` what turned `base` into `draft`.
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
    let text = write(&apply(read(&render(current)), &mine));
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
    // The merged content has another digest than the one that was read.
    sections.entry(HEAD_SECTION.to_owned()).or_default().shift_remove("digest");
    sections
}

fn read(text: &str) -> Sections {
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

fn write(sections: &Sections) -> String {
    let mut text = String::new();
    for (name, keys) in sections {
        let _ = writeln!(text, "[{name}]");
        for (key, value) in keys {
            let _ = writeln!(text, "{key} = {value}");
        }
    }
    text
}
