//! Bounds and defaults of the console.

use std::time::Duration;

/// Largest form that is read, in bytes. A document of 1 MiB triples at most when it is encoded.
pub(crate) const FORM_BYTES_MAX: usize = 4 << 20;

/// Most fields that a form may have.
pub(crate) const FORM_FIELDS_MAX: usize = 10_000;

/// Time after which a form has to be opened again.
pub(crate) const FORM_AGE_MAX: Duration = Duration::from_secs(12 * 3600);

/// Documents that are remembered, so that the console can tell what changed meanwhile.
pub(crate) const RECENT_MAX: usize = 16;

/// Shortest credential of a workspace, in bytes.
pub(crate) const CREDENTIAL_BYTES_MIN: usize = 16;

/// Workspaces on one page.
pub(crate) const PAGE_ROWS: usize = 50;

/// A week.
pub(crate) const WEEK: Duration = Duration::from_secs(7 * 24 * 3600);

/// Length of a planned stop that a proposal uses where none is given.
pub(crate) const STOP_DEFAULT: Duration = Duration::from_secs(2 * 3600);
