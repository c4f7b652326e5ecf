//! Problems found in a fleet document.

use crate::base::code::Code;
use std::fmt;

/// One problem in a fleet document, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Result code of this kind of problem.
    pub code: Code,
    /// Section name without brackets; empty if none applies.
    pub section: String,
    /// Key in the section; empty if none applies.
    pub key: String,
    /// What was expected and what was found.
    pub detail: String,
}

impl Problem {
    /// Describes a problem at a section and key; either may be empty.
    pub fn new(code: Code, section: &str, key: &str, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self { code, section: section.to_owned(), key: key.to_owned(), detail }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.code)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.detail)
    }
}

/// All problems found in a fleet document, at least one.
#[derive(Clone, Debug, snafu::Snafu)]
#[snafu(display("{}", problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n")))]
pub struct DocumentError {
    /// The problems, in the order in which they were found.
    pub problems: Vec<Problem>,
}

impl DocumentError {
    /// The code of the first problem.
    pub fn code(&self) -> Code {
        self.problems.first().map_or(super::codes::DOCUMENT_MALFORMED, |p| p.code)
    }
}
