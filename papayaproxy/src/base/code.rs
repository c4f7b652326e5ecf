//! Numbered result codes and the outcome that each one states.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What a caller may conclude about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran and its whole reply is attached.
    Completed,
    /// The request did not run and never will under this attempt.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// The value of the `papaya-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The number of a result code, as in docs/result-codes.md.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Code(pub u16);

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "P{:04}", self.0)
    }
}

impl fmt::Debug for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// One row of the table of result codes.
#[derive(Clone, Copy, Debug)]
pub struct CodeRow {
    /// The code's number.
    pub code: Code,
    /// The code's symbolic name.
    pub name: &'static str,
    /// What a caller may conclude.
    pub outcome: Outcome,
    /// The HTTP status that carries it.
    pub status: u16,
    /// What it means and what to do.
    pub meaning: &'static str,
}

/// Declares the result codes of a slice: a constant for each, and the slice's `ROWS`.
macro_rules! codes {
    ($($name:ident = $number:literal, $outcome:ident, $status:literal, $meaning:literal;)*) => {
        $(#[doc = $meaning] pub const $name: $crate::base::code::Code =
            $crate::base::code::Code($number);)*
        /// The slice's rows of the table of result codes.
        pub(crate) const ROWS: &[$crate::base::code::CodeRow] = &[
            $($crate::base::code::CodeRow {
                code: $name,
                name: stringify!($name),
                outcome: $crate::base::code::Outcome::$outcome,
                status: $status,
                meaning: $meaning,
            },)*
        ];
    };
}
pub(crate) use codes;

/// Finds the row of `code` in the whole table.
pub fn row(code: Code) -> Option<&'static CodeRow> {
    crate::CODE_TABLES.iter().flat_map(|t| t.iter()).find(|r| r.code == code)
}

/// The outcome that `code` states; `Unknown` for a code that is not in the table.
pub(crate) fn outcome(code: Code) -> Outcome {
    row(code).map_or(Outcome::Unknown, |r| r.outcome)
}
