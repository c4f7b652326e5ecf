//! Log events of this slice: 3400 to 3499.

use crate::base::event::events;

events! {
    AGENT_STARTED = 3400, "An agent has started. Fields: name, zone, replica, address.";
    AGENT_STOPPED = 3401, "An agent has stopped. Fields: name.";
    AGENT_RELOADED = 3411, "The settings were reloaded. Fields: seeds, outcome.";
    RANK_CHANGED = 3402, "The rank belongs to another group, or its group has formed or broken. Fields: group, epoch, rank, open.";
    LEAD_TAKEN = 3403, "This agent has become the lead of its group. Fields: group, epoch, term.";
    LEAD_LEFT = 3404, "This agent no longer leads. Fields: group, term, reason.";
    PLAN_MADE = 3405, "A new expert map was planned and will be prepared. Fields: version, copies, bytes (of the changes, to each rank), copy_ms, skew, planned, bound (lower bound for the demand seen), met (mean of what passes met since the plan before), load, life_ms.";
    DEMAND_SHIFTED = 3414, "Requests choose other experts than before; older counts are dropped. Fields: distance, limit, lasted_ms, life_ms.";
    PHASE_CHANGED = 3406, "The agreement on an expert map entered another phase. Fields: phase, version, step, reason, and of the phase before: took_ms, commands, repeats (commands to ranks that had been sent one).";
    ORDER_LOST = 3407, "An order got no answer and may still take effect. Fields: order, expected, error.";
    ORDER_REFUSED = 3408, "The replica refused an order. Fields: order, expected, status.";
    STAND_IN = 3412, "A rank's agent does not respond; the lead reads its replica and sends it orders directly. Fields: rank, replica.";
    WOKEN = 3413, "This agent was frozen; datagrams queued meanwhile are dropped. Fields: frozen_ms, dropped.";
    TICK_LATE = 3415, "A tick of this agent began late: its one task was busy, or the host lacked processor time. Fields: late_ms.";
    REPLICA_LOST = 3409, "The agent's replica does not answer. Fields: error.";
    REPLICA_BACK = 3410, "The agent's replica answers again. Fields: away_ms.";
}
