//! Problems found in the settings.

use crate::base::code::Code;
use std::fmt;

/// One problem in the settings, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Result code of this kind of problem.
    pub code: Code,
    /// Name of the file, `--set` for an override, or `defaults` without a file.
    pub file: String,
    /// Section name without brackets; empty if none applies.
    pub section: String,
    /// Key in the section; empty if none applies.
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

/// All problems found in the settings, at least one.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("{}", problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n")))]
pub struct SettingsError {
    /// The problems, in the order in which they were found.
    pub problems: Vec<Problem>,
}
