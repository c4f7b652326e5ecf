//! The console's pages. They are plain HTML without scripts.

pub(crate) mod cleaning;
pub(crate) mod glance;
pub(crate) mod layout;
pub(crate) mod preview;
pub(crate) mod problem;
pub(crate) mod upstreams;
pub(crate) mod weights;
pub(crate) mod workspaces;

use super::draft::Draft;
use crate::base::name::Name;
use crate::fleet::Document;

/// What every page is made from.
pub(crate) struct Context<'a> {
    /// Who reads it.
    pub(crate) operator: &'a Name,
    /// Marks the page's forms.
    pub(crate) mark: &'a str,
    /// The document in force.
    pub(crate) current: &'a Document,
    /// The change in the making.
    pub(crate) draft: &'a Draft,
}
