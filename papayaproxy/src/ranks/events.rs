//! Log events of this slice: 3400 to 3499.

use crate::base::event::events;

events! {
    AGENT_STARTED = 3400, "An agent is open. Fields: name, zone, replica, address.";
    AGENT_STOPPED = 3401, "An agent has ended. Fields: name.";
    AGENT_RELOADED = 3411, "The settings were read again. Fields: seeds, outcome.";
    RANK_CHANGED = 3402, "The own rank's group is another one, or is open or broken from now on. Fields: group, epoch, rank, open.";
    LEAD_TAKEN = 3403, "This agent leads the group from now on. Fields: group, epoch, term.";
    LEAD_LEFT = 3404, "This agent no longer leads. Fields: group, term, reason.";
    PLAN_MADE = 3405, "A new map is to be prepared. Fields: version, copies, skew, planned, load.";
    PHASE_CHANGED = 3406, "The agreement has come to another phase. Fields: phase, version, step, reason.";
    ORDER_LOST = 3407, "An order got no answer and may be carried out later. Fields: order, expected, error.";
    ORDER_REFUSED = 3408, "The replica refused an order. Fields: order, expected, status.";
    STAND_IN = 3412, "A rank's agent is silent, and the lead reads and orders its replica from afar. Fields: rank, replica.";
    WOKEN = 3413, "This agent was frozen; datagrams that waited meanwhile are dropped. Fields: frozen_ms, dropped.";
    REPLICA_LOST = 3409, "The own replica does not answer. Fields: error.";
    REPLICA_BACK = 3410, "The own replica answers again. Fields: away_ms.";
}
