//! What is wrong with a fleet document.

use crate::base::code::Code;
use std::fmt;

/// One mistake in a fleet document, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The result code.
    pub code: Code,
    /// The section; empty where none applies.
    pub section: String,
    /// The key; empty where none applies.
    pub key: String,
    /// What was expected and what was found.
    pub detail: String,
}

impl Problem {
    /// Describes a mistake at a place.
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

/// All the mistakes found in a fleet document, at least one.
#[derive(Clone, Debug, snafu::Snafu)]
#[snafu(display("{}", problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n")))]
pub struct DocumentError {
    /// The mistakes, in the order in which they were found.
    pub problems: Vec<Problem>,
}

impl DocumentError {
    /// The code of the first mistake.
    pub fn code(&self) -> Code {
        self.problems.first().map_or(super::codes::DOCUMENT_MALFORMED, |p| p.code)
    }
}
