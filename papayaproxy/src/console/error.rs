//! Errors of the console's pages.

use super::codes;
use crate::base::code::{Code, row};
use hyper::StatusCode;

/// An error shown to the operator, with its result code.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{code}: {detail}"))]
pub(crate) struct PageError {
    pub(crate) code: Code,
    pub(crate) detail: String,
}

impl PageError {
    pub(crate) fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into() }
    }

    /// An invalid field of a form; `expected` says what it should hold.
    pub(crate) fn field(name: &str, expected: &str) -> Self {
        Self::new(codes::FIELD_INVALID, format!("field '{name}': expected {expected}"))
    }

    pub(crate) fn status(&self) -> StatusCode {
        let status = row(self.code).and_then(|r| StatusCode::from_u16(r.status).ok());
        status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }
}
