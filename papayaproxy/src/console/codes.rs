//! Result codes of the console: P1900 to P1999.

use crate::base::code::codes;

codes! {
    OPERATOR_UNKNOWN = 1900, NotRun, 401, "The operator's name or credential is wrong.";
    FORM_FOREIGN = 1901, NotRun, 403, "The form was not issued by this console to this operator, or its token has expired.";
    FORM_OVERSIZED = 1902, NotRun, 413, "The form is larger than 4 MiB or has more than 10,000 fields.";
    FORM_UNREADABLE = 1903, NotRun, 400, "The body of the form has the wrong content type or could not be received.";
    FIELD_INVALID = 1904, NotRun, 422, "A field of the form is malformed or names an unknown item.";
    PAGE_UNKNOWN = 1905, NotRun, 404, "The console has no such page.";
    DOCUMENT_UNREACHABLE = 1906, NotRun, 502, "The platform returned no readable document.";
    DOCUMENT_INVALID = 1907, NotRun, 422, "The changed document would be invalid.";
    PARENT_REPLACED = 1908, NotRun, 409, "Another document came into force after the draft was started.";
    PLATFORM_STALE = 1909, NotRun, 409, "A process has a newer document than the platform serves.";
    METHOD_UNKNOWN = 1910, NotRun, 405, "The method is neither GET nor POST.";
}
