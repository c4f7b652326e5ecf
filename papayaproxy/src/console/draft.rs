//! A change in the making: which document it was begun from and what it has become.

use super::codes;
use super::error::PageError;
use super::form::Form;
use crate::base::digest::Digest;
use crate::fleet::{Document, DocumentError, parse, render};

/// A document being edited. It travels in the forms; the console keeps none.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    /// Digest of the document in force when the change was begun.
    pub(crate) base: Digest,
    /// The document as it is now.
    pub(crate) document: Document,
}

impl Draft {
    /// Begins a change of the document in force.
    pub(crate) fn begin(current: &Document) -> Self {
        Self { base: current.digest, document: current.clone() }
    }

    /// Takes up the change that a form carries, else begins one of `current`.
    pub(crate) fn resume(form: &Form, current: &Document) -> Result<Self, PageError> {
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

    /// Whether nothing has been changed yet.
    pub(crate) fn is_begun(&self) -> bool {
        self.document.digest != self.base
    }

    /// The next document of the fleet: numbered after `current`, with it as parent.
    ///
    /// Its text has been read back, so what is handed out is what processes will accept.
    pub(crate) fn seal(&self, current: &Document) -> Result<Document, DocumentError> {
        let mut next = self.document.clone();
        next.generation = current.generation + 1;
        next.parent = current.digest;
        parse(&render(&next.sealed()))
    }
}
