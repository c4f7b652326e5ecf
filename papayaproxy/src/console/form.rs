//! Parses submitted forms, limited in size and number of fields.

use super::codes;
use super::constants::{FORM_BYTES_MAX, FORM_FIELDS_MAX};
use super::error::PageError;
use crate::base::name::Name;
use crate::settings::parse_name;
use indexmap::IndexMap;

/// The fields of a form; a key may have several values.
#[derive(Clone, Debug, Default)]
pub(crate) struct Form {
    fields: IndexMap<String, Vec<String>>,
}

impl Form {
    /// Reads a body or query of type `application/x-www-form-urlencoded`.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, PageError> {
        if body.len() > FORM_BYTES_MAX {
            return Err(PageError::new(codes::FORM_OVERSIZED, format!("{} bytes", body.len())));
        }
        let mut form = Self::default();
        for (count, (key, value)) in form_urlencoded::parse(body).enumerate() {
            if count >= FORM_FIELDS_MAX {
                return Err(PageError::new(codes::FORM_OVERSIZED, "too many fields"));
            }
            // Browsers end lines with CR LF.
            let value = value.replace("\r\n", "\n");
            form.fields.entry(key.into_owned()).or_default().push(value);
        }
        Ok(form)
    }

    /// The first value of a field, trimmed; empty if the field is missing.
    pub(crate) fn text(&self, key: &str) -> &str {
        self.raw(key).trim()
    }

    /// The first value of a field, untrimmed; empty if the field is missing.
    pub(crate) fn raw(&self, key: &str) -> &str {
        self.all(key).first().map_or("", String::as_str)
    }

    /// All values of a field; empty if the field is missing.
    pub(crate) fn all(&self, key: &str) -> &[String] {
        self.fields.get(key).map_or(&[], Vec::as_slice)
    }

    /// Whether a checkbox is checked.
    pub(crate) fn is_checked(&self, key: &str) -> bool {
        self.text(key) == "yes"
    }

    /// A field parsed as a name.
    pub(crate) fn name(&self, key: &str) -> Result<Name, PageError> {
        parse_name(self.text(key)).map_err(|expected| PageError::field(key, &expected))
    }

    /// A field parsed by `parse`, whose error says what is expected.
    pub(crate) fn value<T>(
        &self,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<T, PageError> {
        parse(self.text(key)).map_err(|expected| PageError::field(key, &expected))
    }
}
