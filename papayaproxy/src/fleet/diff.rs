//! Compares two fleet documents key by key.

use super::document::Document;
use super::render::render;
use indexmap::IndexMap;
use std::fmt;

/// One key that differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Section name without brackets.
    pub section: String,
    /// Key in the section.
    pub key: String,
    /// The value before; `None` if the key was added.
    pub before: Option<String>,
    /// The value after; `None` if the key was removed.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let none = "(none)";
        let before = self.before.as_deref().unwrap_or(none);
        let after = self.after.as_deref().unwrap_or(none);
        write!(f, "[{}] {}: {before} -> {after}", self.section, self.key)
    }
}

/// Lists changed keys in canonical order, then removed ones. Omitted defaults count as absent.
pub fn diff(before: &Document, after: &Document) -> Vec<Change> {
    let old = flatten(&render(before));
    let new = flatten(&render(after));
    let removed = old.iter().filter(|(path, _)| !new.contains_key(*path));
    let removed = removed.map(|(path, value)| change(path, Some(value), None));
    let changed = new.iter().filter(|(path, value)| old.get(*path) != Some(*value));
    let changed = changed.map(|(path, value)| change(path, old.get(path), Some(value)));
    changed.chain(removed).collect()
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct KeyPath {
    section: String,
    key: String,
}

fn change(path: &KeyPath, before: Option<&String>, after: Option<&String>) -> Change {
    Change {
        section: path.section.clone(),
        key: path.key.clone(),
        before: before.cloned(),
        after: after.cloned(),
    }
}

/// Maps each key of a canonical text to its value.
fn flatten(text: &str) -> IndexMap<KeyPath, String> {
    let mut section = String::new();
    let mut values = IndexMap::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            name.clone_into(&mut section);
        } else if let Some((key, value)) = line.split_once(" = ") {
            let path = KeyPath { section: section.clone(), key: key.to_owned() };
            values.insert(path, value.to_owned());
        }
    }
    values
}
