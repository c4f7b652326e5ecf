//! Result codes of this slice: P1300 to P1399.

use crate::base::code::codes;

codes! {
    DOCUMENT_OVERSIZED = 1300, NotRun, 413, "The fleet document is larger than 1 MiB.";
    DOCUMENT_MALFORMED = 1301, NotRun, 422, "The fleet document is not well-formed INI.";
    SECTION_UNKNOWN = 1302, NotRun, 422, "The fleet document has no such section.";
    SECTION_REPEATED = 1303, NotRun, 422, "The section is repeated in the fleet document.";
    KEY_UNKNOWN = 1304, NotRun, 422, "The section of the fleet document has no such key.";
    KEY_REPEATED = 1305, NotRun, 422, "The key is repeated in its section of the fleet document.";
    KEY_MISSING = 1306, NotRun, 422, "A required key of the fleet document is missing.";
    VALUE_INVALID = 1307, NotRun, 422, "The value has the wrong format or is out of range.";
    NAME_INVALID = 1308, NotRun, 422, "A name has the wrong format or length.";
    DIGEST_MISMATCH = 1309, NotRun, 422, "The stated digest doesn't match the document.";
    REFERENCE_DANGLING = 1310, NotRun, 422, "The name refers to an item that the fleet document does not define.";
    SERVICE_EMPTY = 1311, NotRun, 422, "No open upstream offers the service.";
    SERVICE_ALL_LEAVE = 1312, NotRun, 422, "The planned stops leave the service without an upstream or are too close together.";
    ADDRESS_REPEATED = 1313, NotRun, 422, "Two upstreams have the same agent address.";
    LEAVE_INVALID = 1314, NotRun, 422, "The start or end of the planned stop is missing or invalid.";
    GROUP_INVALID = 1315, NotRun, 422, "The group has too few expert slots for its experts.";
    KINDS_MIXED = 1316, NotRun, 422, "An upstream offers both model and plain services.";
    MEMBER_REPEATED = 1317, NotRun, 422, "A name is repeated in a list, or an upstream is a rank of two groups.";
    PROBLEMS_TRUNCATED = 1318, NotRun, 422, "The document has more problems than are listed.";
    VERSION_OLDER = 1330, NotRun, 409, "The document is older than the one in force.";
    VERSION_RACE = 1331, NotRun, 409, "Two documents with the same generation were published.";
    VERSION_MISMATCH = 1332, NotRun, 409, "The rebuilt document does not have the announced version.";
    VERSION_LOWERED = 1333, NotRun, 500, "Invariant: a lower version replaced a higher one.";
    CHUNK_MISMATCH = 1334, NotRun, 409, "A chunk does not match its announced digest.";
}
