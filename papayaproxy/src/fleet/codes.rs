//! Result codes of this slice: P1300 to P1399.

use crate::base::code::codes;

codes! {
    DOCUMENT_OVERSIZED = 1300, NotRun, 413, "The fleet document is larger than 1 MiB.";
    DOCUMENT_MALFORMED = 1301, NotRun, 422, "The fleet document is not well-formed INI.";
    SECTION_UNKNOWN = 1302, NotRun, 422, "The fleet document has no such section.";
    SECTION_REPEATED = 1303, NotRun, 422, "The section stands twice in the fleet document.";
    KEY_UNKNOWN = 1304, NotRun, 422, "The section of the fleet document has no such key.";
    KEY_REPEATED = 1305, NotRun, 422, "The key stands twice in its section of the fleet document.";
    KEY_MISSING = 1306, NotRun, 422, "A required key of the fleet document is missing.";
    VALUE_INVALID = 1307, NotRun, 422, "The value has the wrong form or lies outside its range.";
    NAME_INVALID = 1308, NotRun, 422, "A name has the wrong form or length.";
    DIGEST_MISMATCH = 1309, NotRun, 422, "The stated digest is not that of the document.";
    REFERENCE_DANGLING = 1310, NotRun, 422, "The name refers to nothing in the fleet document.";
    SERVICE_EMPTY = 1311, NotRun, 422, "No open upstream offers the service.";
    SERVICE_ALL_LEAVE = 1312, NotRun, 422, "All upstreams of the service leave together.";
    ADDRESS_REPEATED = 1313, NotRun, 422, "Two upstreams have one agent address.";
    LEAVE_INVALID = 1314, NotRun, 422, "The planned stop has no valid start and end.";
    GROUP_INVALID = 1315, NotRun, 422, "The group's sizes contradict each other.";
    KINDS_MIXED = 1316, NotRun, 422, "An upstream offers both model and plain services.";
    MEMBER_REPEATED = 1317, NotRun, 422, "A name stands twice in a list.";
    PROBLEMS_TRUNCATED = 1318, NotRun, 422, "The document has more mistakes than are listed.";
    VERSION_OLDER = 1330, NotRun, 409, "The document is older than the one in force.";
    VERSION_RACE = 1331, NotRun, 409, "Two documents of one generation were published.";
    VERSION_MISMATCH = 1332, NotRun, 409, "The rebuilt document is not the one that was announced.";
    VERSION_LOWERED = 1333, NotRun, 500, "Invariant: a lower version would come into force.";
    CHUNK_MISMATCH = 1334, NotRun, 409, "A chunk is not the one that was announced.";
}
