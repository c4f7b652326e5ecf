//! Reads the keys of one section and collects all problems.

use super::codes;
use super::constants::PROBLEMS_MAX;
use super::error::Problem;
use crate::base::code::Code;
use crate::base::name::{Name, is_name};
use indexmap::IndexMap;

/// The problems found so far, bounded by `PROBLEMS_MAX`.
#[derive(Default)]
pub(crate) struct Problems {
    pub(crate) list: Vec<Problem>,
}

impl Problems {
    /// Adds a problem; the first one over the limit is replaced by a note.
    pub(crate) fn add(&mut self, code: Code, section: &str, key: &str, detail: impl Into<String>) {
        if self.list.len() < PROBLEMS_MAX {
            self.list.push(Problem::new(code, section, key, detail));
        } else if self.list.len() == PROBLEMS_MAX {
            let detail = format!("only the first {PROBLEMS_MAX} problems are listed");
            self.list.push(Problem::new(codes::PROBLEMS_TRUNCATED, "", "", detail));
        }
    }
}

/// The keys of one section that have not been read yet.
pub(crate) struct Fields<'a> {
    section: &'a str,
    values: IndexMap<&'a str, &'a str>,
    problems: &'a mut Problems,
}

impl<'a> Fields<'a> {
    /// Collects the keys of `section` and reports repeated ones.
    pub(crate) fn open(
        section: &'a str,
        properties: impl Iterator<Item = (&'a str, &'a str)>,
        problems: &'a mut Problems,
    ) -> Self {
        let mut values = IndexMap::new();
        for (key, value) in properties {
            if values.insert(key, value.trim()).is_some() {
                problems.add(codes::KEY_REPEATED, section, key, "the key is repeated");
            }
        }
        Self { section, values, problems }
    }

    /// Reads a required value; `None` if it is missing or invalid, which is reported.
    pub(crate) fn required<T>(
        &mut self,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        if !self.values.contains_key(key) {
            self.problems.add(codes::KEY_MISSING, self.section, key, "the key is required");
            return None;
        }
        self.optional(key, parse)
    }

    /// Reads an optional value; `None` if it is absent, or invalid and reported.
    pub(crate) fn optional<T>(
        &mut self,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        let text = self.values.shift_remove(key)?;
        match parse(text) {
            Ok(value) => Some(value),
            Err(expected) => {
                let detail = format!("expected {expected}, found '{}'", shorten(text));
                self.problems.add(codes::VALUE_INVALID, self.section, key, detail);
                None
            }
        }
    }

    /// Reads a comma-separated list of names; empty if the key is absent.
    pub(crate) fn names(&mut self, key: &str) -> Vec<Name> {
        let text = self.values.shift_remove(key).unwrap_or_default();
        let mut names: Vec<Name> = Vec::new();
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            if !is_name(part) {
                let detail = format!("'{}' is not a valid name", shorten(part));
                self.problems.add(codes::NAME_INVALID, self.section, key, detail);
            } else if names.iter().any(|n| n == part) {
                let detail = format!("'{part}' is repeated");
                self.problems.add(codes::MEMBER_REPEATED, self.section, key, detail);
            } else {
                names.push(part.into());
            }
        }
        names
    }

    /// Reports a problem with a key of the section.
    pub(crate) fn report(&mut self, code: Code, key: &str, detail: impl Into<String>) {
        self.problems.add(code, self.section, key, detail);
    }

    /// Reports the remaining keys as unknown.
    pub(crate) fn finish(self) {
        for key in self.values.keys() {
            let detail = "unknown key in this section";
            self.problems.add(codes::KEY_UNKNOWN, self.section, &shorten(key), detail);
        }
    }
}

/// Shortens a text for an error message and removes its control characters.
pub(crate) fn shorten(text: &str) -> String {
    const CHARS_MAX: usize = 80;
    text.chars().take(CHARS_MAX).filter(|c| !c.is_control()).collect()
}
