//! Compares two fleet documents key by key.

use super::document::Document;
use super::render::render;
use indexmap::IndexMap;
use std::fmt;

/// One key that differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The section.
    pub section: String,
    /// The key.
    pub key: String,
    /// The value before; `None` where the key is new.
    pub before: Option<String>,
    /// The value after; `None` where the key is gone.
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

/// Lists every key that differs, in the canonical order. Omitted defaults count as absent.
pub fn diff(before: &Document, after: &Document) -> Vec<Change> {
    let old = flatten(&render(before));
    let new = flatten(&render(after));
    let gone = old.iter().filter(|(place, _)| !new.contains_key(*place));
    let gone = gone.map(|(place, value)| change(place, Some(value), None));
    let altered = new.iter().filter(|(place, value)| old.get(*place) != Some(*value));
    let altered = altered.map(|(place, value)| change(place, old.get(place), Some(value)));
    altered.chain(gone).collect()
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Place {
    section: String,
    key: String,
}

fn change(place: &Place, before: Option<&String>, after: Option<&String>) -> Change {
    Change {
        section: place.section.clone(),
        key: place.key.clone(),
        before: before.cloned(),
        after: after.cloned(),
    }
}

/// Reads the lines of a canonical text.
fn flatten(text: &str) -> IndexMap<Place, String> {
    let mut section = String::new();
    let mut values = IndexMap::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            name.clone_into(&mut section);
        } else if let Some((key, value)) = line.split_once(" = ") {
            let place = Place { section: section.clone(), key: key.to_owned() };
            values.insert(place, value.to_owned());
        }
    }
    values
}
