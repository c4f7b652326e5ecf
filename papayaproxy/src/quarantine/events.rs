//! Log events of this slice: 3500 to 3599.

use crate::base::event::events;

events! {
    CRASH_RECORDED = 3500, "A crash of an upstream that was beginning an answer is held against the parts of the prompt, given by their keys; entry is the run that noticed it. Fields: upstream, entry, parts, took_ms.";
    PART_BLOCKED = 3501, "Requests with a part of a prompt are no longer sent: no answer on it went on, and upstreams crashed one after the other. Fields: part, crashes.";
    PART_RELEASED = 3502, "Requests with a part are sent again: an answer on it went on, or its crashes are too old. Fields: part.";
    REQUEST_BLOCKED = 3504, "Requests of one content are no longer sent: attempts ended with their upstreams, one after the other, and none was answered completely. Fields: content, attempts.";
    REQUEST_RELEASED = 3505, "Requests of one content are sent again, since one was answered completely. Fields: content.";
    CRASH_CHECKED = 3503, "An answer broke off as it began. Its upstream has crashed if it refuses connections; listening is absent if its host is silent. Fields: upstream, request, listening, parts, keys.";
}
