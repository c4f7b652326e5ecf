//! Limits and defaults of the console.

use std::time::Duration;

/// Largest accepted form, in bytes. URL encoding at most triples a document of 1 MiB.
pub(crate) const FORM_BYTES_MAX: usize = 4 << 20;

/// Most fields in a form.
pub(crate) const FORM_FIELDS_MAX: usize = 10_000;

/// Maximum age of a form's token.
pub(crate) const FORM_AGE_MAX: Duration = Duration::from_secs(12 * 3600);

/// Recently read documents that are kept as bases for comparing and merging drafts.
pub(crate) const RECENT_MAX: usize = 16;

/// Shortest accepted credential of a workspace, in bytes.
pub(crate) const CREDENTIAL_BYTES_MIN: usize = 16;

/// Workspaces per page of the list.
pub(crate) const PAGE_ROWS: usize = 50;

/// Period over which a proposal spreads planned stops.
pub(crate) const WEEK: Duration = Duration::from_secs(7 * 24 * 3600);

/// Length of a proposed stop if the form gives none.
pub(crate) const STOP_DEFAULT: Duration = Duration::from_secs(2 * 3600);
