//! Log events of this slice: 1700 to 1799.

use crate::base::event::events;

events! {
    LEAD_BEGUN = 1700, "This agent begins to lead a group. Fields: term, lead.";
    LEAD_DEPOSED = 1701, "Another lead has a higher term. Fields: term, seen.";
    SWITCH_PROPOSED = 1702, "A new expert map is being staged. Fields: term, map.";
    SWITCH_HELD = 1703, "The ranks are asked to hold a step. Fields: term, map, step.";
    SWITCH_COMMITTED = 1704, "All ranks hold the step, so the map is committed. Fields: term, map, step.";
    SWITCH_DONE = 1705, "All ranks have the map. Fields: term, map, step.";
    SWITCH_RELEASED = 1706, "Holds are released and the map in force stays. Fields: term, map, step.";
    SWITCH_FINISHED = 1707, "A commit of an earlier lead was found and is finished. Fields: term, map, step.";
    MOVE_CHOSEN = 1710, "A move of the plan. Fields: layer, rank, slot, expert, evicted, payback_s.";
    MOVES_PLANNED = 1711, "A plan is made. Fields: moves, bytes, gain, cost, skew, horizon_s.";
    MOVES_DECLINED = 1712, "No move is made. Fields: reason, skew, gain.";
    STRAGGLER_FOUND = 1713, "A rank is slow by itself, whatever its experts. Fields: rank, pace.";
    STRAGGLER_GONE = 1714, "A rank is no longer slow by itself. Fields: rank, pace.";
    REPORT_DROPPED = 1715, "A popularity report was late, repeated or malformed. Fields: rank, window, reason.";
}
