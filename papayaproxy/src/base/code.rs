//! Numbered result codes and the outcome that each one implies.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What a caller may conclude about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran and its complete reply is attached.
    Completed,
    /// The request did not run, and this attempt will not run it later.
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

/// One row of the result code table.
#[derive(Clone, Copy, Debug)]
pub struct CodeRow {
    /// The number, displayed as `P` and four digits.
    pub code: Code,
    /// Symbolic name, as in docs/result-codes.md.
    pub name: &'static str,
    /// What a caller may conclude.
    pub outcome: Outcome,
    /// HTTP status of a response with this code.
    pub status: u16,
    /// Cause, and what the caller or operator should do.
    pub meaning: &'static str,
}

/// Declares the result codes of a slice: a constant for each, and the slice's `ROWS`.
macro_rules! codes {
    ($($name:ident = $number:literal, $outcome:ident, $status:literal, $meaning:literal;)*) => {
        $(#[doc = $meaning] pub const $name: $crate::base::code::Code =
            $crate::base::code::Code($number);)*
        /// The slice's rows of the result code table.
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

/// Returns the table row of `code`; `None` for a code that no slice declares.
pub fn row(code: Code) -> Option<&'static CodeRow> {
    crate::CODE_TABLES.iter().flat_map(|t| t.iter()).find(|r| r.code == code)
}

/// Returns the outcome of `code`; `Unknown` for a code that is not in the table.
pub(crate) fn outcome(code: Code) -> Outcome {
    row(code).map_or(Outcome::Unknown, |r| r.outcome)
}
