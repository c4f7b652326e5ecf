//! Log events of expert placement: 1700 to 1799.

use crate::base::event::events;

events! {
    LEAD_BEGUN = 1700, "This agent begins a term as lead of a group. Fields: term, lead.";
    LEAD_DEPOSED = 1701, "The lead steps down, since another has a higher term. Fields: term, seen.";
    SWITCH_PROPOSED = 1702, "A new expert map was proposed and is being staged. Fields: term, map.";
    SWITCH_HELD = 1703, "Hold requests for a step are sent to the ranks. Fields: term, map, step.";
    SWITCH_COMMITTED = 1704, "All ranks hold the step, so the map is committed. Fields: term, map, step.";
    SWITCH_DONE = 1705, "All ranks have the map. Fields: term, map, step.";
    SWITCH_RELEASED = 1706, "Holds are released and the map in force stays. Fields: term, map, step.";
    SWITCH_FINISHED = 1707, "The unfinished commit of an earlier lead is being finished. Fields: term, map, step.";
    MOVE_CHOSEN = 1710, "A move is part of the plan. Fields: layer, rank, slot, expert, evicted, payback_s.";
    MOVES_PLANNED = 1711, "Moves are planned. Fields: moves, bytes, gain, cost, skew, horizon_s.";
    MOVES_DECLINED = 1712, "No moves are planned. Fields: reason, skew, gain.";
    STRAGGLER_FOUND = 1713, "A rank became a straggler: it is slow for other reasons than popular experts. Fields: rank, pace.";
    STRAGGLER_GONE = 1714, "A rank is no longer a straggler. Fields: rank, pace.";
    REPORT_DROPPED = 1715, "A popularity report was dropped: it was late, repeated or malformed. Fields: rank, window, reason.";
}
