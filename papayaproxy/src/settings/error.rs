//! What is wrong with a set of settings.

use crate::base::code::Code;
use std::fmt;

/// One mistake in the settings, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The result code.
    pub code: Code,
    /// The file, or `--set` for an override.
    pub file: String,
    /// The section; empty where none applies.
    pub section: String,
    /// The key; empty where none applies.
    pub key: String,
    /// What was expected and what was found.
    pub detail: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.code, self.file)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.detail)
    }
}

/// All the mistakes found in the settings, at least one.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("{}", problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n")))]
pub struct SettingsError {
    /// The mistakes, in the order in which they were found.
    pub problems: Vec<Problem>,
}
