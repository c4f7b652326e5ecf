//! Result codes of this slice: P1900 to P1999.

use crate::base::code::codes;

codes! {
    OPERATOR_UNKNOWN = 1900, NotRun, 401, "The operator's name or credential is wrong.";
    FORM_FOREIGN = 1901, NotRun, 403, "The form was not opened in this console by this operator, or too long ago.";
    FORM_OVERSIZED = 1902, NotRun, 413, "The form is larger than 4 MiB or has more than 10,000 fields.";
    FORM_UNREADABLE = 1903, NotRun, 400, "The form cannot be read.";
    FIELD_INVALID = 1904, NotRun, 422, "A field of the form has the wrong form or names nothing.";
    PAGE_UNKNOWN = 1905, NotRun, 404, "The console has no such page.";
    DOCUMENT_UNREACHABLE = 1906, NotRun, 502, "The platform does not give the document in force.";
    DOCUMENT_INVALID = 1907, NotRun, 422, "The changed document would be invalid.";
    PARENT_REPLACED = 1908, NotRun, 409, "Another document came into force since the change was begun.";
    PLATFORM_STALE = 1909, NotRun, 409, "A process has a later document than the platform serves.";
    METHOD_UNKNOWN = 1910, NotRun, 405, "The page takes no such method.";
}
