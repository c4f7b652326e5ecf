//! Log events of this slice: 1800 to 1899.

use crate::base::event::events;

events! {
    ORDER_SENT = 1800, "An order is sent to the engine. Fields: target, issue, fence.";
    ORDER_WITHHELD = 1801, "An order is not sent. Fields: target, issue, code.";
    ORDER_DONE = 1802, "The engine has carried out an order. Fields: target, issue, fence.";
    ORDER_LOST = 1803, "An order got no answer and may still take effect. Fields: target, issue, fence.";
    AGENT_SUPERSEDED = 1804, "The engine has accepted a higher fencing number, so this agent sends no more orders. Fields: fence, current.";
    SHARE_CHANGED = 1805, "The agent's share of the weight store's rate changed. Fields: rate, members.";
}
