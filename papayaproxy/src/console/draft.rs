//! Drafts of the next fleet document.

use super::codes;
use super::error::PageError;
use super::form::Form;
use crate::base::digest::Digest;
use crate::fleet::{Document, DocumentError, parse, render};

/// A document being edited. The forms carry it; the console stores none.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    /// Digest of the document in force when the draft was started.
    pub(crate) base: Digest,
    /// The edited document.
    pub(crate) document: Document,
}

impl Draft {
    /// Starts a draft of the document in force.
    pub(crate) fn new(current: &Document) -> Self {
        Self { base: current.digest, document: current.clone() }
    }

    /// Reads the draft that a form carries; starts one of `current` if the form has none.
    pub(crate) fn from_form(form: &Form, current: &Document) -> Result<Self, PageError> {
        let base = match form.text("base") {
            "" => current.digest,
            text => Digest::parse(text)
                .ok_or_else(|| PageError::field("base", "the digest of a document"))?,
        };
        let text = form.raw("draft");
        if text.trim().is_empty() {
            return Ok(Self { base, document: current.clone() });
        }
        let invalid = |e: DocumentError| PageError::new(codes::DOCUMENT_INVALID, e.to_string());
        Ok(Self { base, document: parse(text).map_err(invalid)? })
    }

    /// Whether the document differs from the one the draft was started from.
    pub(crate) fn is_changed(&self) -> bool {
        self.document.digest != self.base
    }

    /// The next fleet document: its generation follows that of `current`, which is its parent.
    ///
    /// Parses the rendered text again, so that processes accept a downloaded document.
    pub(crate) fn seal(&self, current: &Document) -> Result<Document, DocumentError> {
        let mut next = self.document.clone();
        next.generation = current.generation + 1;
        next.parent = current.digest;
        parse(&render(&next.sealed()))
    }
}
