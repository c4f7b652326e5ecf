//! Result codes of the command-line tool: P2500 to P2599.

use crate::base::code::codes;

codes! {
    PROCESS_UNREACHABLE = 2500, Unknown, 502, "A process or the platform could not be reached, or did not answer within 2 seconds.";
    ANSWER_UNREADABLE = 2501, Unknown, 502, "An HTTP response has a status other than 200, is larger than 2 MiB or cannot be parsed.";
    GENERATIONS_DIFFER = 2502, Completed, 200, "Processes have different fleet documents in force.";
    FILE_UNREADABLE = 2503, NotRun, 500, "A file named on the command line cannot be read.";
    REQUEST_UNKNOWN = 2504, NotRun, 404, "No line of the given log files contains the request's id.";
}
