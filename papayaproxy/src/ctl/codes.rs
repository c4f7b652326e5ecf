//! Result codes of this slice: P2500 to P2599.

use crate::base::code::codes;

codes! {
    PROCESS_UNREACHABLE = 2500, Unknown, 502, "A process or the platform does not answer on its HTTP address.";
    ANSWER_UNREADABLE = 2501, Unknown, 502, "An answer over HTTP is too large or not of the expected form.";
    GENERATIONS_DIFFER = 2502, Completed, 200, "Processes have different fleet documents in force.";
    FILE_UNREADABLE = 2503, NotRun, 500, "A file named on the command line cannot be read.";
    REQUEST_UNKNOWN = 2504, NotRun, 404, "No log line names the request.";
}
