//! Result codes of this slice: P2000 to P2099.

use crate::base::code::codes;

codes! {
    LENGTH_MISMATCH = 2000, Unknown, 502, "The reply has fewer or more bytes than its end marker states.";
    CHECKSUM_MISMATCH = 2001, Unknown, 502, "The reply's checksum does not match its end marker.";
    PIECE_MISSING = 2002, Unknown, 502, "A piece of the reply is missing.";
    END_MISSING = 2003, Unknown, 502, "The reply ended before it was complete.";
    EVENT_MALFORMED = 2004, Unknown, 502, "The engine sent an event that cannot be decoded.";
    EVENT_OVERSIZED = 2005, Unknown, 502, "The engine sent an event that exceeds the maximum size.";
    REPLICA_MISSING = 2006, Unknown, 502, "The stream broke off, and no replica with its model, version and adapter can continue it.";
    RESUMES_SPENT = 2007, Unknown, 502, "The stream broke off more often than it may be continued on another replica.";
    TIME_SPENT = 2008, Unknown, 504, "The stream broke off, and too little time is left until its deadline.";
    CONTINUATION_BARRED = 2009, Unknown, 502, "The stream broke off, and its service does not allow another replica to continue it.";
    PRIOR_OVERSIZED = 2010, Unknown, 502, "The stream broke off, and its text is too long to be sent to another replica.";
    STREAM_MOVED = 2011, Unknown, 503, "The upstream is leaving; another replica has to continue the stream.";
}
