//! The pages of the console: plain HTML without scripts.

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

/// Input of all pages.
pub(crate) struct Context<'a> {
    /// The authenticated operator.
    pub(crate) operator: &'a Name,
    /// Token of the page's forms.
    pub(crate) token: &'a str,
    /// The document in force.
    pub(crate) current: &'a Document,
    /// The draft being edited.
    pub(crate) draft: &'a Draft,
}
