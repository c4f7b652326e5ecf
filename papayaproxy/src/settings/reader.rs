//! Reads an INI file with overrides and collects all problems instead of stopping at the first.

use super::codes;
use super::error::{Problem, SettingsError};
use crate::base::code::Code;
use indexmap::IndexMap;
use std::path::Path;

/// Describes one setting.
#[derive(Clone, Copy, Debug)]
pub struct SettingRow {
    /// Section name without brackets.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// The default as written; `None` for a required setting, `""` for an optional one.
    pub default: Option<&'static str>,
    /// Purpose, with unit and range.
    pub meaning: &'static str,
}

struct Entry {
    value: String,
    file: String,
}

/// The settings as read and the problems found so far.
pub struct Reader {
    file: String,
    rows: &'static [&'static [SettingRow]],
    entries: IndexMap<(String, String), Entry>,
    problems: Vec<Problem>,
}

impl Reader {
    /// Reads `file`, then applies `overrides` of the form `section.key=value`.
    ///
    /// Problems are collected and returned by [`Reader::finish`].
    pub fn open(
        file: Option<&Path>,
        overrides: &[String],
        rows: &'static [&'static [SettingRow]],
    ) -> Self {
        let name = file.map_or("defaults".to_owned(), |f| f.display().to_string());
        let mut reader = Self { file: name, rows, entries: IndexMap::new(), problems: Vec::new() };
        if let Some(path) = file {
            match std::fs::read_to_string(path) {
                Ok(text) => reader.take_text(&text),
                Err(error) => reader.report(codes::FILE_UNREADABLE, "", "", error.to_string()),
            }
        }
        for text in overrides {
            reader.take_override(text);
        }
        reader
    }

    /// Reads settings from `text`, as if from a file called `name`.
    pub fn from_text(name: &str, text: &str, rows: &'static [&'static [SettingRow]]) -> Self {
        let mut reader =
            Self { file: name.to_owned(), rows, entries: IndexMap::new(), problems: Vec::new() };
        reader.take_text(text);
        reader
    }

    /// Reads one value with `parse`; `None` if an optional value is absent.
    ///
    /// A missing required value or an invalid one is reported and gives `None` too.
    pub fn value<T>(
        &mut self,
        section: &str,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        let row = self.row(section, key);
        let default = row.and_then(|r| r.default);
        let found = self.entries.get(&(section.to_owned(), key.to_owned()));
        let Some(text) = found.map(|e| e.value.clone()).or(default.map(str::to_owned)) else {
            let expected = row.map_or("a value", |r| r.meaning);
            self.report(codes::KEY_MISSING, section, key, format!("expected {expected}"));
            return None;
        };
        if text.is_empty() && default == Some("") {
            return None;
        }
        match parse(&text) {
            Ok(value) => Some(value),
            Err(expected) => {
                let detail = format!("expected {expected}, found '{text}'");
                self.report(codes::VALUE_INVALID, section, key, detail);
                None
            }
        }
    }

    /// Reads a value with `FromStr`; `expected` describes it in the error.
    pub fn parsed<T: std::str::FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
    ) -> Option<T> {
        self.value(section, key, |text| text.parse().map_err(|_| expected.to_owned()))
    }

    /// Records a problem at a section and key; either may be empty.
    pub fn report(&mut self, code: Code, section: &str, key: &str, detail: String) {
        let place = (section.to_owned(), key.to_owned());
        let file = self.entries.get(&place).map_or(&self.file, |e| &e.file).clone();
        self.problems.push(Problem {
            code,
            file,
            section: section.to_owned(),
            key: key.to_owned(),
            detail,
        });
    }

    /// Reads settings with `read`, then finishes.
    ///
    /// # Errors
    /// Returns all problems found.
    pub fn check<T>(
        mut self,
        read: impl FnOnce(&mut Self) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let built = read(&mut self);
        self.finish(built)
    }

    /// Returns `built` if there were no problems.
    ///
    /// # Errors
    /// Returns all problems found.
    pub fn finish<T>(self, built: Option<T>) -> Result<T, SettingsError> {
        match built {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(SettingsError { problems: self.problems }),
        }
    }

    fn row(&self, section: &str, key: &str) -> Option<&'static SettingRow> {
        let mut all = self.rows.iter().flat_map(|table| table.iter());
        all.find(|r| r.section == section && r.key == key)
    }

    fn take_text(&mut self, text: &str) {
        let ini = match ini::Ini::load_from_str_noescape(text) {
            Ok(ini) => ini,
            Err(error) => {
                let detail = format!("line {}: {}", error.line, error.msg);
                return self.report(codes::FILE_MALFORMED, "", "", detail);
            }
        };
        for (section, properties) in ini.iter() {
            let file = self.file.clone();
            for (key, value) in properties.iter() {
                self.take_entry(section.unwrap_or(""), key, value, &file);
            }
        }
    }

    fn take_override(&mut self, text: &str) {
        let parts = text.split_once('=').and_then(|(place, value)| {
            let (section, key) = place.rsplit_once('.')?;
            Some((section, key, value))
        });
        match parts {
            Some((section, key, value)) => {
                self.entries.shift_remove(&(section.to_owned(), key.to_owned()));
                self.take_entry(section, key, value, "--set");
            }
            None => {
                let detail = format!("expected section.key=value, found '{text}'");
                self.report(codes::OVERRIDE_MALFORMED, "", "", detail);
            }
        }
    }

    fn take_entry(&mut self, section: &str, key: &str, value: &str, file: &str) {
        let mut rows = self.rows.iter().flat_map(|table| table.iter());
        let known = rows.any(|r| r.section == section);
        let entry = Entry { value: value.trim().to_owned(), file: file.to_owned() };
        let place = (section.to_owned(), key.to_owned());
        if self.entries.contains_key(&place) {
            return self.report(codes::KEY_REPEATED, section, key, "the key is repeated".into());
        }
        self.entries.insert(place, entry);
        if !known {
            self.report(codes::SECTION_UNKNOWN, section, key, "unknown section".into());
        } else if self.row(section, key).is_none() {
            self.report(codes::KEY_UNKNOWN, section, key, "unknown key in this section".into());
        }
    }
}
