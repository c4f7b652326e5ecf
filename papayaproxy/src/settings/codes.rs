//! Result codes of this slice: P1000 to P1099.

use crate::base::code::codes;

codes! {
    FILE_UNREADABLE = 1000, NotRun, 500, "The settings file cannot be read.";
    FILE_MALFORMED = 1001, NotRun, 500, "The settings file is not well-formed INI.";
    SECTION_UNKNOWN = 1002, NotRun, 500, "The section does not exist.";
    KEY_UNKNOWN = 1003, NotRun, 500, "The key does not exist in this section.";
    KEY_MISSING = 1004, NotRun, 500, "A required key has no value.";
    VALUE_INVALID = 1005, NotRun, 500, "The value has the wrong format or is out of range.";
    VALUE_CLASH = 1006, NotRun, 500, "Two settings conflict.";
    OVERRIDE_MALFORMED = 1007, NotRun, 500, "An override does not have the format section.key=value.";
    KEY_REPEATED = 1008, NotRun, 500, "The key is repeated in its section.";
}
