//! Decides which of an agent's orders are sent to its engine; every order passes through here.

use super::codes;
use super::constants::{DECISION_MAX_AGE, ORDER_TTL};
use super::events;
use super::fence::FenceCounter;
use super::order::{Order, Target};
use crate::base::code::Code;
use crate::base::name::Incarnation;
use crate::fleet::Fencing;
use indexmap::IndexMap;
use std::time::Duration;

/// An order with its fencing number, to be sent at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedOrder {
    /// The fencing number.
    pub fence: u64,
    /// The order.
    pub order: Order,
}

/// An engine's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineReply {
    /// The order was carried out.
    Done,
    /// The engine has accepted a higher fencing number.
    Outdated {
        /// The engine's current fencing number.
        current: u64,
    },
    /// The engine cannot carry the order out; nothing changed.
    Failed,
    /// No reply came in time.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GateState {
    /// Orders are refused until `open_at`, or until the current number of an engine that checks
    /// fencing numbers is known.
    Starting { open_at: Duration },
    /// Orders may be sent.
    Open,
    /// A later agent sends the orders.
    Superseded,
}

/// Admits orders to the engine. At most one order is in progress at a time.
#[derive(Clone, Debug)]
pub struct OrderGate {
    fencing: Fencing,
    fence: FenceCounter,
    state: GateState,
    in_flight: Option<FencedOrder>,
    last_issues: IndexMap<Target, u64>,
    completed: IndexMap<Target, Order>,
    #[cfg(test)]
    pub(crate) enforce_wait: bool,
}

impl OrderGate {
    /// Opens the gate of an agent that has held its slot's address exclusively since `now`.
    ///
    /// For an engine that checks fencing numbers the gate admits orders once its current number is
    /// known, see [`OrderGate::learn_fence`]. For an engine that ignores them the gate waits until
    /// orders from a predecessor can no longer take effect.
    pub fn open(now: Duration, incarnation: Incarnation, fencing: Fencing) -> Self {
        let open_at = match fencing {
            Fencing::Checked => Duration::MAX,
            Fencing::Ignored => now + ORDER_TTL,
        };
        Self {
            fencing,
            fence: FenceCounter::from_incarnation(incarnation),
            state: GateState::Starting { open_at },
            in_flight: None,
            last_issues: IndexMap::new(),
            completed: IndexMap::new(),
            #[cfg(test)]
            enforce_wait: true,
        }
    }

    /// Takes the current number of an engine that checks fencing numbers.
    pub fn learn_fence(&mut self, current: u64) {
        if matches!(self.state, GateState::Starting { .. }) && self.fencing == Fencing::Checked {
            self.fence.raise_to(current);
            self.state = GateState::Open;
        }
    }

    /// Gives an order that was decided at `decided` its fencing number if it may be sent now.
    ///
    /// # Errors
    /// The code that says why the order is not sent: it is too early or too late, already carried
    /// out, another one is in progress, or a later agent has taken over.
    pub fn submit(
        &mut self,
        now: Duration,
        decided: Duration,
        order: Order,
    ) -> Result<FencedOrder, Code> {
        let result = self.check_order(now, decided, &order);
        if let Err(code) = result {
            let (target, issue) = (&order.target, order.issue);
            tracing::info!(event = events::ORDER_WITHHELD, ?target, issue, %code, "order not sent");
            return Err(code);
        }
        let fenced = FencedOrder { fence: self.fence.allocate(), order };
        let FencedOrder { fence, order } = &fenced;
        let (target, issue) = (&order.target, order.issue);
        tracing::info!(event = events::ORDER_SENT, ?target, issue, fence, "order sent");
        self.last_issues.insert(order.target.clone(), order.issue);
        self.completed.shift_remove(&order.target);
        self.in_flight = Some(fenced.clone());
        Ok(fenced)
    }

    /// Takes the engine's reply to the order with number `fence`; replies to others are ignored.
    pub fn record_reply(&mut self, now: Duration, fence: u64, reply: EngineReply) {
        let Some(in_flight) = self.in_flight.take_if(|f| f.fence == fence) else { return };
        let Order { target, issue, .. } = &in_flight.order;
        match reply {
            EngineReply::Done => {
                tracing::info!(
                    event = events::ORDER_DONE,
                    ?target,
                    issue,
                    fence,
                    "order carried out"
                );
                self.completed.insert(target.clone(), in_flight.order);
            }
            EngineReply::Outdated { current } => {
                tracing::warn!(
                    event = events::AGENT_SUPERSEDED,
                    fence,
                    current,
                    "superseded by a later agent"
                );
                self.state = GateState::Superseded;
            }
            EngineReply::Lost => {
                tracing::warn!(
                    event = events::ORDER_LOST,
                    ?target,
                    issue,
                    fence,
                    "order got no answer"
                );
                self.wait_for_lost_order(now);
            }
            EngineReply::Failed => {}
        }
    }

    /// A lost order may still arrive. An engine that checks fencing numbers refuses it once it has
    /// accepted a higher one; for any other the gate waits until the order can no longer arrive.
    fn wait_for_lost_order(&mut self, now: Duration) {
        if self.fencing == Fencing::Ignored {
            self.state = GateState::Starting { open_at: now + ORDER_TTL };
        }
    }

    fn check_order(&mut self, now: Duration, decided: Duration, order: &Order) -> Result<(), Code> {
        if self.state == GateState::Superseded {
            return Err(codes::AGENT_SUPERSEDED);
        }
        if let GateState::Starting { open_at } = self.state {
            if now < open_at && self.enforces_wait() {
                return Err(codes::ORDER_EARLY);
            }
            self.state = GateState::Open;
        }
        if now.saturating_sub(decided) > DECISION_MAX_AGE {
            return Err(codes::ORDER_EXPIRED);
        }
        if self.completed.get(&order.target) == Some(order) {
            return Err(codes::ORDER_DONE);
        }
        if self.last_issues.get(&order.target).is_some_and(|last| order.issue < *last) {
            return Err(codes::ORDER_STALE);
        }
        if self.in_flight.is_some() {
            return Err(codes::ORDER_BUSY);
        }
        Ok(())
    }

    #[cfg(test)]
    fn enforces_wait(&self) -> bool {
        self.enforce_wait
    }

    #[cfg(not(test))]
    fn enforces_wait(&self) -> bool {
        true
    }
}
