//! Result codes of this slice: P2000 to P2099.

use crate::base::code::codes;

codes! {
    LENGTH_MISMATCH = 2000, Unknown, 502, "The reply ended with fewer or more bytes than its end states.";
    CHECKSUM_MISMATCH = 2001, Unknown, 502, "The reply's checksum does not match its end.";
    PIECE_MISSING = 2002, Unknown, 502, "A piece of the reply is missing.";
    END_MISSING = 2003, Unknown, 502, "The reply broke off before its end.";
    EVENT_MALFORMED = 2004, Unknown, 502, "The engine sent an event that cannot be read.";
    EVENT_OVERSIZED = 2005, Unknown, 502, "The engine sent an event that exceeds the largest size.";
    REPLICA_MISSING = 2006, Unknown, 502, "The stream broke off and no replica of its model, adapter and version can go on with it.";
    RESUMES_SPENT = 2007, Unknown, 502, "The stream broke off more often than it may be resumed.";
    TIME_SPENT = 2008, Unknown, 504, "The stream broke off and its deadline leaves no time to go on.";
    CONTINUATION_BARRED = 2009, Unknown, 502, "The stream broke off, and its service does not allow to go on elsewhere.";
    PRIOR_OVERSIZED = 2010, Unknown, 502, "The stream broke off, and its text is too long to be handed to another replica.";
    STREAM_MOVED = 2011, Unknown, 503, "The upstream is leaving and hands the stream to another replica.";
}
