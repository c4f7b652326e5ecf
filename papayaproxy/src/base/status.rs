//! Statuses of HTTP responses.

use hyper::StatusCode;

/// Whether `status` is one of HTTP. hyper reads any number from 100 to 999.
pub(crate) fn is_defined(status: StatusCode) -> bool {
    status.as_u16() < 600
}
