//! Result codes of this slice: P1100 to P1199.

use crate::base::code::codes;

codes! {
    SEAL_SHORT = 1100, NotRun, 500, "The message is too short to hold a seal.";
    SEAL_KEY_UNKNOWN = 1101, NotRun, 500, "The message is sealed with a key that is not in force here.";
    SEAL_BROKEN = 1102, NotRun, 500, "The message's authentication code does not match.";
    MESSAGE_MALFORMED = 1103, NotRun, 500, "The message cannot be decoded.";
    SECRET_INVALID = 1104, NotRun, 500, "A link key is not of the form id:64-hex-digits.";
    LINK_CLOSED = 1105, Unknown, 502, "The link to the agent closed while the call was in progress.";
    LINK_REFUSED = 1106, NotRun, 503, "No link to the agent could be made; nothing of the call was sent.";
    HANDSHAKE_FAILED = 1107, NotRun, 503, "The peer did not complete the handshake.";
    FRAME_OVERSIZED = 1108, NotRun, 500, "A frame exceeds the largest size.";
}
