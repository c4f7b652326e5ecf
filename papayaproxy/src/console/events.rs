//! Log events of this slice: 1900 to 1999.

use crate::base::event::events;

events! {
    CONSOLE_OPENED = 1900, "The console listens. Fields: address.";
    OPERATOR_REFUSED = 1901, "A request was refused for its credential or its form. Fields: code, operator, path.";
    CHANGE_PREVIEWED = 1902, "An operator saw what a change would do. Fields: operator, page, generation, changes, problems.";
    DOCUMENT_HANDED_OUT = 1903, "An operator took a validated document to publish it. Fields: operator, generation, digest, parent.";
    PARENT_LOST = 1904, "An operator's change was begun from a document no longer in force. Fields: operator, parent, generation.";
}
