//! Log events of the console: 1900 to 1999.

use crate::base::event::events;

events! {
    CONSOLE_OPENED = 1900, "The console accepts connections. Fields: address.";
    OPERATOR_REFUSED = 1901, "A request was refused for its credential or its form. Fields: code, operator, path.";
    CHANGE_PREVIEWED = 1902, "An operator previewed a change. Fields: operator, page, generation, changes, problems.";
    DOCUMENT_HANDED_OUT = 1903, "An operator downloaded a validated document for publication. Fields: operator, generation, digest, parent.";
    PARENT_LOST = 1904, "An operator's draft is based on a document that is no longer in force. Fields: operator, parent, generation.";
}
